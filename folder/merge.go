package folder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"lovageshift"
)

// Merged is a validated configuration. Sources, which only Explain fills in, holds by its path where each field was
// set.
type Merged struct {
	Config  *lovageshift.Config
	Sources map[string]Source
}

// SetDigest returns the SHA-256 over the names and digests of a set of files, independent of their order.
func SetDigest(files []File) Digest {
	sum := sha256.New()
	for _, file := range sortedFiles(files) {
		sum.Write([]byte(file.Name))
		sum.Write([]byte{0})
		sum.Write(file.Digest[:])
	}
	return Digest(sum.Sum(nil))
}

func sortedFiles(files []File) []File {
	ordered := append([]File(nil), files...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	return ordered
}

// Merge merges and validates the files; the error is Faults and holds every fault found.
func Merge(revision lovageshift.Revision, files []File) (*Merged, error) {
	b := newBuilder(lovageshift.NewConfig())
	for _, file := range sortedFiles(files) {
		b.add(file)
	}
	return b.finish(revision, files)
}

// builder merges files into a configuration.
type builder struct {
	config  *lovageshift.Config
	sources map[string]Source // nil except for Explain
	// includes reports whether to build a member; members lists the others too.
	includes func(section, name string) bool
	members  []EntityName
	faults   Faults
	fields   map[reflect.Type]map[string]int
}

const limitsSection = "limits"

// EntityName is the section and the name of a member, such as accounts and one account's name.
type EntityName struct{ Section, Name string }

func newBuilder(config *lovageshift.Config) *builder {
	return &builder{
		config:   config,
		includes: func(string, string) bool { return true },
		fields:   map[reflect.Type]map[string]int{},
	}
}

// finish validates the configuration. Only a faulty one is read again, by Explain, to find the file and line of each
// fault.
func (b *builder) finish(revision lovageshift.Revision, files []File) (*Merged, error) {
	if problems := b.config.Validate(); len(problems) > 0 || len(b.faults) > 0 {
		return Explain(revision, files)
	}
	digest := SetDigest(files)
	b.config.Revision = revision
	b.config.Hash = hex.EncodeToString(digest[:])
	return &Merged{Config: b.config, Sources: b.sources}, nil
}

// Explain merges and validates the files like Merge, and also returns the source of each field.
func Explain(revision lovageshift.Revision, files []File) (*Merged, error) {
	b := newBuilder(lovageshift.NewConfig())
	b.sources = map[string]Source{}
	for _, file := range sortedFiles(files) {
		b.add(file)
	}
	for _, problem := range b.config.Validate() {
		b.faults = append(b.faults, b.locate(problem))
	}
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.finish(revision, files)
}

// add merges one file into the configuration.
func (b *builder) add(file File) {
	doc, fault := parse(file)
	if fault != nil {
		b.faults = append(b.faults, *fault)
		return
	}
	for _, section := range sortedKeys(doc.values) {
		b.addSection(doc, section, doc.values[section])
	}
}

func (b *builder) addSection(doc *document, section string, value any) {
	table, isTable := value.(map[string]any)
	if !isTable {
		b.addFault(doc, section, "must be a table")
		return
	}
	if section == limitsSection {
		b.members = append(b.members, EntityName{Section: limitsSection})
		b.addFields(doc, section, &b.config.Limits, table)
		return
	}
	for _, name := range sortedKeys(table) {
		path := section + "." + name
		fields, isMember := table[name].(map[string]any)
		if !isMember {
			b.addFault(doc, path, "must be a table")
			continue
		}
		if !validName(name) {
			b.addFault(doc, path, "names are letters, digits, - and _, 64 at most")
			continue
		}
		b.members = append(b.members, EntityName{section, name})
		if !b.includes(section, name) {
			continue
		}
		entity := b.config.Entity(section, name)
		if entity == nil {
			b.addFault(doc, section, "unknown section")
			return
		}
		b.recordSource(doc, path, "")
		b.addFields(doc, path, entity, fields)
	}
}

const maxNameBytes = 64

// validName reports whether a member's name has 1 to 64 letters, digits, - and _.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}) < 0
}

func (b *builder) addFields(doc *document, path string, entity any, fields map[string]any) {
	structValue := reflect.ValueOf(entity).Elem()
	known := b.fieldIndexes(structValue.Type())
	for _, name := range sortedKeys(fields) {
		fieldPath := path + "." + name
		index, found := known[name]
		if !found {
			b.addFault(doc, fieldPath, "unknown key")
			continue
		}
		if message := assign(structValue.Field(index), fields[name]); message != "" {
			b.addFault(doc, fieldPath, message)
			continue
		}
		b.recordSource(doc, fieldPath, fmt.Sprintf("%#v", fields[name]))
	}
}

// fieldIndexes returns the index of each field of the struct type by its TOML name.
func (b *builder) fieldIndexes(kind reflect.Type) map[string]int {
	if known := b.fields[kind]; known != nil {
		return known
	}
	known := map[string]int{}
	for i := range kind.NumField() {
		name := kind.Field(i).Tag.Get("toml")
		if name != "" && name != "-" {
			known[name] = i
		}
	}
	b.fields[kind] = known
	return known
}

// assign sets a field from a TOML value and returns what is wrong with it, if anything.
func assign(field reflect.Value, value any) string {
	switch field.Kind() {
	case reflect.String:
		text, ok := value.(string)
		if !ok {
			return "must be a string"
		}
		field.SetString(text)
	case reflect.Bool:
		flag, ok := value.(bool)
		if !ok {
			return "must be true or false"
		}
		field.SetBool(flag)
	case reflect.Int, reflect.Int64:
		number, ok := value.(int64)
		if !ok {
			return "must be a whole number"
		}
		field.SetInt(number)
	case reflect.Float64:
		return assignFloat(field, value)
	case reflect.Slice:
		return assignStrings(field, value)
	default:
		return "cannot be set"
	}
	return ""
}

func assignFloat(field reflect.Value, value any) string {
	switch number := value.(type) {
	case float64:
		field.SetFloat(number)
	case int64:
		field.SetFloat(float64(number))
	default:
		return "must be a number"
	}
	return ""
}

func assignStrings(field reflect.Value, value any) string {
	items, ok := value.([]any)
	if !ok {
		return "must be a list of strings"
	}
	texts := make([]string, 0, len(items))
	for _, item := range items {
		text, ok := item.(string)
		if !ok {
			return "must be a list of strings"
		}
		texts = append(texts, text)
	}
	field.Set(reflect.ValueOf(texts))
	return ""
}

// recordSource records where a path was set and the value, which is empty for a member itself.
func (b *builder) recordSource(doc *document, path, text string) {
	if b.sources != nil {
		b.sources[path] = Source{doc.name, doc.lineOf(path), text}
	}
}

func (b *builder) addFault(doc *document, path, message string) {
	b.faults = append(b.faults, Fault{doc.name, doc.lineOf(path), path, message})
}

// locate turns a problem at a path into a fault at the file and line that set the path or its nearest parent.
func (b *builder) locate(problem lovageshift.Problem) Fault {
	path := problem.Path
	for path != "" {
		if source, found := b.sources[path]; found {
			return Fault{source.File, source.Line, problem.Path, problem.Message}
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			break
		}
		path = path[:dot]
	}
	return Fault{"(defaults)", 0, problem.Path, problem.Message}
}

func sortedKeys(values map[string]any) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
