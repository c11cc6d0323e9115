package ticket

import (
	"fmt"
	"strings"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// maxString is the maximum length of a string after its references were replaced, so that a
// short ticket can't expand to a long one.
const maxString = 32 << 10

// formatString is the grammar of a format string: text with references such as
// {{ Param.Frame }}.
type formatString struct {
	Parts []*formatPart `parser:"@@*"`
}

type formatPart struct {
	Text string   `parser:"  @(Text | Brace)"`
	Ref  []string `parser:"| Open @Ident (Dot @Ident)* Close"`
}

var formatLexer = lexer.MustStateful(lexer.Rules{
	"Root": {
		{Name: "Open", Pattern: `\{\{`, Action: lexer.Push("Ref")},
		{Name: "Text", Pattern: `[^{]+`},
		{Name: "Brace", Pattern: `\{`},
	},
	"Ref": {
		{Name: "space", Pattern: `[ \t]+`},
		{Name: "Close", Pattern: `\}\}`, Action: lexer.Pop()},
		{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_]*`},
		{Name: "Dot", Pattern: `\.`},
	},
})

var formatParser = sync.OnceValue(func() *participle.Parser[formatString] {
	return participle.MustBuild[formatString](participle.Lexer(formatLexer))
})

// parseFormat parses a format string.
func parseFormat(s string) (*formatString, error) {
	if !strings.Contains(s, "{{") {
		return &formatString{Parts: []*formatPart{{Text: s}}}, nil
	}
	f, err := formatParser().ParseString("", s)
	if err != nil {
		return nil, fmt.Errorf("format string %s: %v", quoteClipped(s), parseErrorText(err))
	}
	return f, nil
}

// refs returns the references in a format string.
func (f *formatString) refs() []string {
	var out []string
	for _, p := range f.Parts {
		if p.Ref != nil {
			out = append(out, strings.Join(p.Ref, "."))
		}
	}
	return out
}

// resolve replaces each reference once. A value is never parsed as a format string again,
// so that a parameter's value can't refer to anything that is out of its scope.
func (f *formatString) resolve(lookup func(ref string) (string, bool)) (string, error) {
	var b strings.Builder
	for _, p := range f.Parts {
		s := p.Text
		if p.Ref != nil {
			ref := strings.Join(p.Ref, ".")
			var ok bool
			if s, ok = lookup(ref); !ok {
				return "", fmt.Errorf("{{%s}} has no value here", ref)
			}
		}
		if b.Len()+len(s) > maxString {
			return "", fmt.Errorf("longer than %d characters once its references are replaced", maxString)
		}
		b.WriteString(s)
	}
	return b.String(), nil
}
