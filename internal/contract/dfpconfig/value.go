package dfpconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"dragonflyport/internal/contract/dfprules"
)

// HeadKey is the platform's key of the Head.
const HeadKey = "dragonflyport/rules"

// textPrefix is the prefix of the platform's keys of version texts.
const textPrefix = "dragonflyport/text/"

// KeptTexts is the number of newest versions whose texts are kept on the platform.
const KeptTexts = 8

// Bounds of a Head.
const (
	// maxHistory is the largest number of recent applies in a head.
	maxHistory = 24
	// maxPatchBytes bounds the total size of the patches in a head.
	maxPatchBytes = 768
	// MaxByBytes is the longest operator name, in bytes.
	MaxByBytes = 64
	// maxHeadBytes is more than the size of any valid encoded head.
	maxHeadBytes = 16_384
)

// ErrHead is wrapped by the errors of DecodeHead.
var ErrHead = errors.New("invalid head of the rules")

// Head describes one version of the rules. It is kept small because watchers read it often.
type Head struct {
	// Version is 1 for the first head, and one more than that of the replaced head afterwards.
	Version uint64 `cbor:"version" json:"version"`
	// ApplyID is drawn at random for each apply.
	ApplyID string `cbor:"apply_id" json:"apply_id"`
	// By is the operator's name.
	By string `cbor:"by" json:"by"`
	// Size is the length of the text in bytes.
	Size int `cbor:"size" json:"size"`
	// Sum is the SHA-256 digest of the text.
	Sum [sha256.Size]byte `cbor:"sum" json:"-"`
	// History lists the newest applies without gaps; the last one is this head's.
	History []Apply `cbor:"history" json:"history"`
}

// Apply is one accepted change of the rules. It is encoded as an array without field names to
// save space: watchers read up to maxHistory of them every second.
type Apply struct {
	_       struct{} `cbor:",toarray"`
	Version uint64   `json:"version"`
	ApplyID string   `json:"apply_id"`
	By      string   `json:"by"`
	// At is the time on the operator's clock in Unix seconds, for display only.
	At int64 `json:"at"`
	// Patch turns the previous version's text into this one's; nil if it is not kept.
	Patch *Patch `cbor:"patch" json:"-"`
}

// Patch replaces one contiguous part of a text. It is encoded as an array.
type Patch struct {
	_ struct{} `cbor:",toarray"`
	// Prefix and Suffix are the numbers of unchanged bytes at the start and the end; Middle replaces
	// the bytes between them.
	Prefix int
	Suffix int
	Middle []byte
}

// TextKey returns the platform's key of the head's text.
func (h *Head) TextKey() string { return textKey(h.ApplyID) }

// TextKey returns the platform's key of the text of an apply in the history. The texts of versions
// older than the newest KeptTexts may have been deleted.
func (a *Apply) TextKey() string { return textKey(a.ApplyID) }

func textKey(applyID string) string { return textPrefix + applyID }

// Find returns the apply with the given ID, and whether the history contains it.
func (h *Head) Find(applyID string) (Apply, bool) {
	for _, a := range h.History {
		if a.ApplyID == applyID {
			return a, true
		}
	}
	return Apply{}, false
}

// covers reports whether the history contains the apply of the given version.
func (h *Head) covers(version uint64) bool {
	return version <= h.Version && len(h.History) > 0 && h.History[0].Version <= version
}

// Encode returns the head in CBOR.
func (h *Head) Encode() []byte { return mustEncode(h) }

// DecodeHead decodes a head and checks that it is well formed. Errors wrap ErrHead.
func DecodeHead(b []byte) (*Head, error) {
	if len(b) > maxHeadBytes {
		return nil, fmt.Errorf("%w: %d bytes is more than any valid head has", ErrHead, len(b))
	}
	h := &Head{}
	if err := cbor.Unmarshal(b, h); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrHead, err)
	}
	if err := h.check(); err != nil {
		return nil, err
	}
	return h, nil
}

// NewHead returns the head of a text that was not written by an Applier. Its history contains only
// its own version, so successive versions need not be consecutive.
func NewHead(version uint64, text []byte) *Head {
	sum := sha256.Sum256(text)
	id := hex.EncodeToString(sum[:8])
	return &Head{
		Version: version, ApplyID: id, Size: len(text), Sum: sum,
		History: []Apply{{Version: version, ApplyID: id}},
	}
}

func (h *Head) check() error {
	n := len(h.History)
	if h.Version == 0 || h.ApplyID == "" || n == 0 || n > maxHistory || h.Size > dfprules.MaxTextBytes {
		return fmt.Errorf("%w: the version, apply ID or history is missing, the history is too long, or the text is too large", ErrHead)
	}
	for i, a := range h.History {
		if a.Version+uint64(n-1-i) != h.Version {
			return fmt.Errorf("%w: the history has a gap", ErrHead)
		}
	}
	if h.History[n-1].ApplyID != h.ApplyID {
		return fmt.Errorf("%w: the history ends with another apply", ErrHead)
	}
	return nil
}

// next returns the head that replaces h, with a new text; h is nil for the first head. oldText is the
// text of h, from which the patch is made; nil makes no patch.
func (h *Head) next(apply Apply, oldText, text []byte) *Head {
	n := &Head{Version: 1, ApplyID: apply.ApplyID, By: apply.By, Size: len(text), Sum: sha256.Sum256(text)}
	if h != nil {
		n.Version = h.Version + 1
		n.History = append(n.History, h.History[max(0, len(h.History)-maxHistory+1):]...)
		if oldText != nil {
			apply.Patch = makePatch(oldText, text)
		}
	}
	apply.Version = n.Version
	n.History = append(n.History, apply)
	n.dropPatches()
	return n
}

// dropPatches drops the oldest patches so that the others total at most maxPatchBytes.
func (h *Head) dropPatches() {
	total := 0
	for i := len(h.History) - 1; i >= 0; i-- {
		if p := h.History[i].Patch; p != nil {
			total += len(p.Middle)
		}
		if total > maxPatchBytes {
			h.History[i].Patch = nil
		}
	}
}

// applyPatches returns the head's text, made by applying patches to the text of an older version. It
// returns nil if the history lacks a patch or the result does not match the head.
func (h *Head) applyPatches(version uint64, text []byte) []byte {
	if !h.covers(version + 1) {
		return nil
	}
	for _, a := range h.History {
		if a.Version <= version {
			continue
		}
		if a.Patch == nil || !a.Patch.fits(text) {
			return nil
		}
		text = a.Patch.apply(text)
	}
	if !h.matches(text) {
		return nil
	}
	return text
}

// matches reports whether a text has the size and digest in the head.
func (h *Head) matches(text []byte) bool {
	return len(text) == h.Size && sha256.Sum256(text) == h.Sum
}

// makePatch returns the patch that turns before into after.
func makePatch(before, after []byte) *Patch {
	shorter := min(len(before), len(after))
	p := &Patch{}
	for p.Prefix < shorter && before[p.Prefix] == after[p.Prefix] {
		p.Prefix++
	}
	for p.Suffix < shorter-p.Prefix && before[len(before)-1-p.Suffix] == after[len(after)-1-p.Suffix] {
		p.Suffix++
	}
	p.Middle = bytes.Clone(after[p.Prefix : len(after)-p.Suffix])
	return p
}

func (p *Patch) fits(text []byte) bool {
	return p.Prefix >= 0 && p.Suffix >= 0 && p.Prefix <= len(text) && p.Suffix <= len(text)-p.Prefix
}

func (p *Patch) apply(text []byte) []byte {
	out := make([]byte, 0, p.Prefix+len(p.Middle)+p.Suffix)
	out = append(out, text[:p.Prefix]...)
	out = append(out, p.Middle...)
	return append(out, text[len(text)-p.Suffix:]...)
}

// mustEncode returns v in CBOR. It panics if encoding fails, which the types of this package rule out.
func mustEncode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("dfpconfig: encode %T: %v", v, err))
	}
	return b
}
