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

// Merged is a validated configuration. Sources holds, by dotted path, the last place that set each field and entity. It
// is nil unless the configuration comes from Explain.
type Merged struct {
	Config  *lovageshift.Config
	Sources map[string]Source
}

// SetDigest returns the SHA-256 over the names and digests of the files, independent of their order.
func SetDigest(files []File) Digest {
	sum := sha256.New()
	for _, file := range sortedFiles(files) {
		sum.Write([]byte(file.Name))
		sum.Write([]byte{0})
		sum.Write(file.Digest[:])
	}
	return Digest(sum.Sum(nil))
}

// sortedFiles returns a copy of the files in the order in which they are merged.
func sortedFiles(files []File) []File {
	ordered := append([]File(nil), files...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	return ordered
}

// Merge merges the files in the order of their names and validates the result. The error is Faults and holds every
// fault found.
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
	// includes reports whether to build the entity in config. Other entities are only listed, in the field entities.
	includes func(section, name string) bool
	// entities lists the entities that the files set, including those that are not built.
	entities []EntityName
	faults   Faults
	// fieldIndexCache holds the results of fieldIndexes.
	fieldIndexCache map[reflect.Type]map[string]int
}

const limitsSection = "limits"

// EntityName identifies an entity of the configuration by its section, such as accounts, and its name there. For the
// limits, which are a section without entities, Name is empty.
type EntityName struct{ Section, Name string }

func newBuilder(config *lovageshift.Config) *builder {
	return &builder{
		config:          config,
		includes:        func(string, string) bool { return true },
		fieldIndexCache: map[reflect.Type]map[string]int{},
	}
}

// finish validates the configuration and sets its revision and hash. If there are faults, it merges all files again
// with Explain, which records the sources and so can give the file and line of each fault.
func (b *builder) finish(revision lovageshift.Revision, files []File) (*Merged, error) {
	if problems := b.config.Validate(); len(problems) > 0 || len(b.faults) > 0 {
		return Explain(revision, files)
	}
	digest := SetDigest(files)
	b.config.Revision = revision
	b.config.Hash = hex.EncodeToString(digest[:])
	return &Merged{Config: b.config, Sources: b.sources}, nil
}

// Explain merges and validates the files like Merge, and also fills in Merged.Sources.
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

// add parses one file and merges it into the configuration.
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
		b.entities = append(b.entities, EntityName{Section: limitsSection})
		b.addFields(doc, section, &b.config.Limits, table)
		return
	}
	for _, name := range sortedKeys(table) {
		path := section + "." + name
		fields, isEntity := table[name].(map[string]any)
		if !isEntity {
			b.addFault(doc, path, "must be a table")
			continue
		}
		if !validName(name) {
			b.addFault(doc, path, "names are letters, digits, - and _, 64 at most")
			continue
		}
		b.entities = append(b.entities, EntityName{section, name})
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

// validName reports whether an entity's name consists of 1 to 64 letters, digits, - and _.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}) < 0
}

// addFields sets the fields of a struct from a table of the document. The parameter entity points to the struct, which
// is an entity or the limits; path is its dotted path.
func (b *builder) addFields(doc *document, path string, entity any, fields map[string]any) {
	structValue := reflect.ValueOf(entity).Elem()
	indexes := b.fieldIndexes(structValue.Type())
	for _, name := range sortedKeys(fields) {
		fieldPath := path + "." + name
		index, found := indexes[name]
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

// fieldIndexes returns the index of each field of the struct type that a file can set, by the field's TOML name.
func (b *builder) fieldIndexes(structType reflect.Type) map[string]int {
	if indexes := b.fieldIndexCache[structType]; indexes != nil {
		return indexes
	}
	indexes := map[string]int{}
	for i := range structType.NumField() {
		name := structType.Field(i).Tag.Get("toml")
		if name != "" && name != "-" {
			indexes[name] = i
		}
	}
	b.fieldIndexCache[structType] = indexes
	return indexes
}

// assign sets a field from a TOML value. If the value has the wrong type, it returns the message of the fault, else "".
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

// recordSource records the document and line that set the path, if b.sources is not nil. Text is as in Source.
func (b *builder) recordSource(doc *document, path, text string) {
	if b.sources != nil {
		b.sources[path] = Source{doc.name, doc.lineOf(path), text}
	}
}

func (b *builder) addFault(doc *document, path, message string) {
	b.faults = append(b.faults, Fault{doc.name, doc.lineOf(path), path, message})
}

// locate turns a validation problem into a fault at the file and line that set the problem's path or, if no file did,
// its nearest parent that a file set. If no file set any of these, the fault is at line 0 of "(defaults)".
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
