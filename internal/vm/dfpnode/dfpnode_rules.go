package dfpnode

import (
	"context"
	"fmt"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/link/dfpplatform"
)

// RulesSource is the source of the operators' rules.
type RulesSource interface {
	// Head reads the head of the newest version, or nil if there is none. Its errors wrap those of
	// dfpplatform or dfpconfig.
	Head(ctx context.Context) (*dfpconfig.Head, error)
	// Text reads the text stored under a head's TextKey, or nil if it has been deleted.
	Text(ctx context.Context, key string) ([]byte, error)
	// Watch reports new heads until ctx ends and returns ctx's error. It may miss heads, so the head
	// is also read periodically.
	Watch(ctx context.Context, report func(*dfpconfig.Head)) error
}

// platformRules reads the rules that dfpconfig.Applier writes to the platform.
type platformRules struct{ platform *dfpplatform.Client }

func (p platformRules) Head(ctx context.Context) (*dfpconfig.Head, error) {
	entry, err := p.platform.Get(ctx, dfpconfig.HeadKey)
	if err != nil || entry.Revision == 0 {
		return nil, err
	}
	return dfpconfig.DecodeHead(entry.Value)
}

func (p platformRules) Text(ctx context.Context, key string) ([]byte, error) {
	entry, err := p.platform.Get(ctx, key)
	if err != nil || entry.Revision == 0 {
		return nil, err
	}
	return entry.Value, nil
}

func (p platformRules) Watch(ctx context.Context, report func(*dfpconfig.Head)) error {
	return p.platform.Watch(ctx, dfpconfig.HeadKey, func(event dfpplatform.Event) {
		var entries []dfpplatform.Entry
		switch e := event.(type) {
		case dfpplatform.Listed:
			entries = e.Entries
		case dfpplatform.Changed:
			entries = append(entries, e.Entry)
		}
		for _, entry := range entries {
			if entry.Key != dfpconfig.HeadKey {
				continue
			}
			// Invalid heads are logged when Head reads them.
			if head, err := dfpconfig.DecodeHead(entry.Value); err == nil {
				report(head)
			}
		}
	})
}

// errNoRulesSource is returned by a node that has neither a platform nor another source of rules.
var errNoRulesSource = fmt.Errorf("no source of rules: %w", dfpplatform.ErrUnavailable)
