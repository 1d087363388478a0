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

// Digest is the SHA-256 of a file's content, or the SetDigest of a set.
type Digest [sha256.Size]byte

// File is one TOML file of a configuration; Digest is the SHA-256 of its content.
type File struct {
	Name    string
	Content []byte
	Digest  Digest
}

// NewFile returns a file with the digest computed from the content.
func NewFile(name string, content []byte) File {
	return File{Name: name, Content: content, Digest: sha256.Sum256(content)}
}

// Fault is one error of a configuration, with the file, the line and the dotted key that cause it. Lines count from 1.
// If no file set the key, Line is 0 and File is "(defaults)".
type Fault struct {
	File    string
	Line    int
	Key     string
	Message string
}

// Error formats the fault as file:line: key: message.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Faults holds all errors of one configuration. As an error it matches ErrInvalid in errors.Is.
type Faults []Fault

// ErrInvalid matches, in errors.Is, any Faults.
var ErrInvalid = errors.New("invalid configuration")

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Is matches ErrInvalid.
func (f Faults) Is(target error) bool { return target == ErrInvalid }

// Source is the file and line that set a field, or that has the table of an entity. Text is the field's value in Go
// syntax, empty for an entity.
type Source struct {
	File string
	Line int
	Text string
}

// document is one parsed file.
type document struct {
	name    string
	values  map[string]any // by section; nested tables are maps too
	content []byte
	lines   map[string]int // the line of each dotted key, from keyLines; nil until lineOf first needs it
}

// parse parses the file. For a syntax error it returns a fault in place of the document.
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

// keyLines returns the line on which each dotted key of the content is set, and that of each table header.
func keyLines(content []byte) map[string]int {
	lines := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(content)
	prefix := ""
	line, counted := 1, 0 // line is the number of the line at the byte offset counted
	for parser.NextExpression() {
		expression := parser.Expression()
		key, offset := dottedKey(expression)
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

// dottedKey returns the dotted key of a table header or a key-value pair and the key's byte offset in the file, -1 for
// an empty key.
func dottedKey(expression *unstable.Node) (string, int) {
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

// lineOf returns the line that sets the dotted key path. If the file does not set it, lineOf returns the line of the
// nearest parent that the file sets, or 1 if there is none.
func (d *document) lineOf(path string) int {
	if d.lines == nil {
		d.lines = keyLines(d.content)
	}
	for path != "" {
		if line, found := d.lines[path]; found {
			return line
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			break
		}
		path = path[:dot]
	}
	return 1
}
