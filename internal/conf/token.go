package conf

import "strings"

// MaxTokenBytes bounds a writer's token in bytes.
const MaxTokenBytes = 128

// tokenMark starts the last line of a stored team text. It is a comment, so that the text stays INI.
const tokenMark = "# writer-token = "

// WithToken returns a team text as it is stored: followed by a line with the token of the write. A
// writer whose answer was lost recognises its own write by the token. An earlier token is replaced.
// The token is a word of at most MaxTokenBytes.
func WithToken(text, token string) string {
	body, _ := SplitToken(text)
	return body + "\n" + tokenMark + token + "\n"
}

// SplitToken returns a stored team text without its token, as the operator wrote it, and the token.
// The token is empty where the text has none.
func SplitToken(text string) (string, string) {
	i := strings.LastIndex(text, "\n"+tokenMark)
	if i < 0 {
		return text, ""
	}
	token, end := strings.CutSuffix(text[i+1+len(tokenMark):], "\n")
	if !end || token == "" || len(token) > MaxTokenBytes || strings.ContainsAny(token, " \t\r\n") {
		return text, ""
	}
	return text[:i], token
}
