package dfpnode

import (
	"context"
	"fmt"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/link/dfpplatform"
)

// RulesSource is where the operators' rules come from.
type RulesSource interface {
	// Head reads the newest version's head, nil if there is none yet. Errors wrap those of
	// dfpplatform or dfpconfig.
	Head(ctx context.Context) (*dfpconfig.Head, error)
	// Text reads the text of a head under its TextKey; nil if it is gone.
	Text(ctx context.Context, key string) ([]byte, error)
	// Watch reports heads as they come in until ctx ends; it returns ctx's error. It may miss
	// some: the head is read besides.
	Watch(ctx context.Context, report func(*dfpconfig.Head)) error
}

// platformRules reads the rules where dfpconfig.Applier writes them.
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
			// An unreadable head is logged when it is read.
			if head, err := dfpconfig.DecodeHead(entry.Value); err == nil {
				report(head)
			}
		}
	})
}

// errNoRulesSource is what a node without a platform gets.
var errNoRulesSource = fmt.Errorf("no source of rules: %w", dfpplatform.ErrUnavailable)
