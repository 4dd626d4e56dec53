package dfprules

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by every ErrorList.
var ErrInvalid = errors.New("invalid rules file")

// maxErrors is the number of errors after which an ErrorList ends with a note that there are more.
const maxErrors = 1000

// Error is one error in a rules file.
type Error struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Col counts characters from 1.
	Col int `json:"col"`
	// Message says what is wrong and what to write instead.
	Message string `json:"message"`
}

// Error returns FILE:LINE:COL: MESSAGE.
func (e Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Col, e.Message)
}

// ErrorList holds the errors in a rules file in the order of their positions, up to a thousand and a note
// if there are more. It wraps ErrInvalid.
type ErrorList []Error

// Error returns the errors, one a line.
func (l ErrorList) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (l ErrorList) Unwrap() error { return ErrInvalid }
