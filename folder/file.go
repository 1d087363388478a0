package folder

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Digest is the SHA-256 of a file's content or of a whole set.
type Digest [sha256.Size]byte

// File is one file of a configuration.
type File struct {
	Name    string
	Content []byte
	Digest  Digest
}

// NewFile returns a file with its digest.
func NewFile(name string, content []byte) File {
	return File{Name: name, Content: content, Digest: sha256.Sum256(content)}
}

// Fault is one error of a configuration, with the place that causes it.
type Fault struct {
	File    string
	Line    int
	Key     string
	Message string
}

// Error returns the fault as file:line: key: message.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Faults is every error of one configuration.
type Faults []Fault

// ErrInvalid is matched by the errors of a configuration that is refused.
var ErrInvalid = errors.New("invalid configuration")

// Error returns all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Is matches ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }

// Source is where a field's value was set, and the value as text.
type Source struct {
	File string
	Line int
	Text string
}

// document is one parsed file: its values and the line of each key.
type document struct {
	name    string
	values  map[string]any
	content []byte
	lines   map[string]int // made when first needed
}

func parse(file File) (*document, *Fault) {
	values := map[string]any{}
	if err := toml.Unmarshal(file.Content, &values); err != nil {
		return nil, syntaxFault(file.Name, err)
	}
	return &document{name: file.Name, values: values, content: file.Content}, nil
}

func syntaxFault(name string, err error) *Fault {
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		line, _ := decodeError.Position()
		return &Fault{File: name, Line: line, Key: strings.Join(decodeError.Key(), "."), Message: decodeError.Error()}
	}
	return &Fault{File: name, Line: 1, Message: err.Error()}
}

// keyLines maps each dotted key to the line that sets it.
func keyLines(content []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(content)
	prefix := ""
	line, counted := 1, 0
	for parser.NextExpression() {
		expression := parser.Expression()
		key, offset := keyOf(expression)
		line += bytes.Count(content[counted:max(offset, counted)], []byte{'\n'})
		counted = max(offset, counted)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = key + "."
			lines[key] = line
		case unstable.KeyValue:
			lines[prefix+key] = line
		}
	}
	return lines
}

// keyOf returns an expression's dotted key and where it begins.
func keyOf(expression *unstable.Node) (string, int) {
	var parts []string
	offset := -1
	for it := expression.Key(); it.Next(); {
		node := it.Node()
		parts = append(parts, string(node.Data))
		if offset < 0 {
			offset = int(node.Raw.Offset)
		}
	}
	return strings.Join(parts, "."), offset
}

// lineOf returns the line of the nearest enclosing key that the file sets.
func (d *document) lineOf(path string) int {
	if d.lines == nil {
		d.lines = keyLines(d.content)
	}
	for path != "" {
		if line, found := d.lines[path]; found {
			return line
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}
