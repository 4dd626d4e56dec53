package dfpconfig

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// HeadRead takes the platform's answer to a read of HeadKey that was sent at a time; nil
// if the platform has no rules.
func (s *State) HeadRead(now time.Time, rng *rand.Rand, sentAt time.Time, head *Head) Effects {
	var e Effects
	s.failures = 0
	if head == nil || head.Version < s.Version() && !s.off.forward {
		// An old answer, or rules taken away by other means: neither is word of the newest.
		return e
	}
	s.offerHead(now, rng, head, &e)
	if head.Version == s.Version() && e.Err == nil {
		s.substitute(now)
		s.refresh(sentAt)
	}
	return e
}

// HeadWatched takes a head that a watch has brought.
func (s *State) HeadWatched(now time.Time, rng *rand.Rand, head *Head) Effects {
	var e Effects
	s.offerHead(now, rng, head, &e)
	return e
}

// HeadFailed says that a read of the head failed.
func (s *State) HeadFailed() { s.failures++ }

// TextRead takes the text under the key that Effects.ReadText named; nil if the
// read failed or there is no such key. Then the next read of the head starts anew.
func (s *State) TextRead(now time.Time, rng *rand.Rand, key string, text []byte) Effects {
	var e Effects
	head := s.pendingHead
	if head == nil || head.TextKey() != key {
		return e
	}
	s.pendingHead = nil
	if text != nil {
		s.install(now, rng, head, text, &e)
	}
	return e
}

func (s *State) offerHead(now time.Time, rng *rand.Rand, head *Head, e *Effects) {
	if s.checkForked(head, e) || !s.isNewer(head) {
		return
	}
	if s.installed != nil {
		if text := head.patched(s.Version(), s.installed.Text); text != nil {
			s.install(now, rng, head, text, e)
			return
		}
	}
	s.pendingHead = head
	e.ReadText = head.TextKey()
}

// updated takes a peer's update. One whose patches don't fit is pulled again whole.
func (s *State) updated(now time.Time, rng *rand.Rand, from string, u *Update, e *Effects) {
	if s.checkForked(&u.Head, e) || !s.isNewer(&u.Head) {
		return
	}
	s.pullEnd = time.Time{}
	text := u.Text
	if text == nil && s.installed != nil {
		text = u.Head.patched(s.Version(), s.installed.Text)
	}
	if text == nil {
		e.Send = append(e.Send, Send{from, &Pull{}})
		return
	}
	s.install(now, rng, &u.Head, text, e)
}

func (s *State) isNewer(head *Head) bool {
	return head.Version > max(s.Version(), s.rejected) || s.off.forward && head.Version != s.Version()
}

// checkForked reports a head of the version in force that is another one.
func (s *State) checkForked(head *Head, e *Effects) bool {
	if s.installed == nil || head.Version != s.Version() || head.ApplyID == s.installed.Head.ApplyID {
		return false
	}
	e.Err = fmt.Errorf("%w: version %d is apply %s here and %s there",
		ErrForked, head.Version, s.installed.Head.ApplyID, head.ApplyID)
	return true
}

// install brings a newer version into force. Rules that this program can't read are
// left out, and the old ones stay in force.
func (s *State) install(_ time.Time, rng *rand.Rand, head *Head, text []byte, e *Effects) {
	if head.Version <= s.Version() && !s.off.forward {
		panic(fmt.Sprintf("dfpconfig: version %d would follow %d", head.Version, s.Version()))
	}
	if !head.describes(text) {
		e.Err = fmt.Errorf("%w %d", ErrTextMismatch, head.Version)
		return
	}
	set, err := s.cfg.Parse(fmt.Sprintf("version-%d", head.Version), text)
	if err != nil {
		s.rejected = head.Version
		e.Err = fmt.Errorf("rules of version %d: %w", head.Version, err)
		return
	}
	s.installed = &Installed{Head: *head, Text: text, Ruleset: set}
	s.pendingHead = nil
	e.Install = s.installed
	s.tell(rng, e)
}
