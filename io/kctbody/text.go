package kctbody

import "strings"

// maxErrorText is the length in bytes to which the text of an error is cut.
const maxErrorText = 300

// ErrorText returns the text of an error of reading an answer, whose middle is left out when it is long: net/http quotes the line that it could not read,
// which may be as long as a head.
func ErrorText(err error) string {
	text := err.Error()
	if len(text) <= maxErrorText {
		return text
	}
	const half = maxErrorText / 2
	return strings.ToValidUTF8(text[:half]+" ... "+text[len(text)-half:], "?")
}
