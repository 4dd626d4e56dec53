package dfpconfig

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// HeadRead handles the platform's answer to a read of HeadKey that was sent at sentAt; head is nil
// if the platform has no rules.
func (s *State) HeadRead(now time.Time, rng *rand.Rand, sentAt time.Time, head *Head) Effects {
	var e Effects
	s.failures = 0
	if head == nil || head.Version < s.Version() && !s.disabled.monotonic {
		// Either the read returned old data, or the rules were deleted by other means. Neither tells
		// whether the version in force is the newest.
		return e
	}
	s.handleHead(now, rng, head, &e)
	if head.Version == s.Version() && e.Err == nil {
		s.startSubstituting(now)
		s.confirmFresh(sentAt)
	}
	return e
}

// HeadWatched handles a head reported by a watch.
func (s *State) HeadWatched(now time.Time, rng *rand.Rand, head *Head) Effects {
	var e Effects
	s.handleHead(now, rng, head, &e)
	return e
}

// HeadFailed records that a read of the head failed.
func (s *State) HeadFailed() { s.failures++ }

// TextRead handles the text under the key that Effects.ReadText named. It is nil if the
// read failed or the key does not exist; the next read of the head then requests the text again.
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

// handleHead installs a newer head if its patches lead to its text, and requests the text otherwise.
func (s *State) handleHead(now time.Time, rng *rand.Rand, head *Head, e *Effects) {
	if s.checkForked(head, e) || !s.isNewer(head) {
		return
	}
	if s.installed != nil {
		if text := head.applyPatches(s.Version(), s.installed.Text); text != nil {
			s.install(now, rng, head, text, e)
			return
		}
	}
	s.pendingHead = head
	e.ReadText = head.TextKey()
}

// handleUpdate handles a peer's update. If the patches do not fit, it pulls the whole text.
func (s *State) handleUpdate(now time.Time, rng *rand.Rand, from string, u *Update, e *Effects) {
	if s.checkForked(&u.Head, e) || !s.isNewer(&u.Head) {
		return
	}
	s.pullEnd = time.Time{}
	text := u.Text
	if text == nil && s.installed != nil {
		text = u.Head.applyPatches(s.Version(), s.installed.Text)
	}
	if text == nil {
		e.Send = append(e.Send, Send{from, &Pull{}})
		return
	}
	s.install(now, rng, &u.Head, text, e)
}

func (s *State) isNewer(head *Head) bool {
	return head.Version > max(s.Version(), s.rejected) || s.disabled.monotonic && head.Version != s.Version()
}

// checkForked reports whether a head has the version in force but comes from another apply,
// and sets e.Err if so.
func (s *State) checkForked(head *Head, e *Effects) bool {
	if s.installed == nil || head.Version != s.Version() || head.ApplyID == s.installed.Head.ApplyID {
		return false
	}
	e.Err = fmt.Errorf("%w: version %d is from apply %s on this node, but from apply %s in the received head",
		ErrForked, head.Version, s.installed.Head.ApplyID, head.ApplyID)
	return true
}

// install puts a newer version in force. If this program can't parse the rules, the old ones
// stay in force.
func (s *State) install(_ time.Time, rng *rand.Rand, head *Head, text []byte, e *Effects) {
	if head.Version <= s.Version() && !s.disabled.monotonic {
		panic(fmt.Sprintf("dfpconfig: install of version %d, which is not newer than version %d in force", head.Version, s.Version()))
	}
	if !head.matches(text) {
		e.Err = fmt.Errorf("%w: version %d", ErrTextMismatch, head.Version)
		return
	}
	ruleset, err := s.cfg.Parse(fmt.Sprintf("version-%d", head.Version), text)
	if err != nil {
		s.rejected = head.Version
		e.Err = fmt.Errorf("rules of version %d: %w", head.Version, err)
		return
	}
	s.installed = &Installed{Head: *head, Text: text, Ruleset: ruleset}
	s.pendingHead = nil
	e.Install = s.installed
	s.announce(rng, e)
}
