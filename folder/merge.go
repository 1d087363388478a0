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

// Merged is a checked configuration with the source of each field.
type Merged struct {
	Config  *lovageshift.Config
	Sources map[string]Source
}

// SetDigest returns the digest of a set of files, whatever their order.
func SetDigest(files []File) Digest {
	sum := sha256.New()
	for _, file := range sorted(files) {
		sum.Write([]byte(file.Name))
		sum.Write([]byte{0})
		sum.Write(file.Digest[:])
	}
	return Digest(sum.Sum(nil))
}

func sorted(files []File) []File {
	ordered := append([]File(nil), files...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	return ordered
}

// Merge merges and checks the files; the error is Faults, with every fault found.
func Merge(revision lovageshift.Revision, files []File) (*Merged, error) {
	merger := newMerger(lovageshift.NewConfig())
	for _, file := range sorted(files) {
		merger.add(file)
	}
	return merger.finish(revision, files)
}

type merger struct {
	config  *lovageshift.Config
	sources map[string]Source // only for Explain
	wanted  func(section, name string) bool
	names   []EntityName
	faults  Faults
	fields  map[reflect.Type]map[string]int
}

const limitsSection = "limits"

// EntityName names a member of a section.
type EntityName struct{ Section, Name string }

func newMerger(config *lovageshift.Config) *merger {
	return &merger{
		config: config,
		wanted: func(string, string) bool { return true },
		fields: map[reflect.Type]map[string]int{},
	}
}

// finish checks the configuration; only one with a fault is read again to find the places.
func (m *merger) finish(revision lovageshift.Revision, files []File) (*Merged, error) {
	if problems := m.config.Validate(); len(problems) > 0 || len(m.faults) > 0 {
		return Explain(revision, files)
	}
	digest := SetDigest(files)
	m.config.Revision = revision
	m.config.Hash = hex.EncodeToString(digest[:])
	return &Merged{Config: m.config, Sources: m.sources}, nil
}

// Explain is Merge with the source of each field.
func Explain(revision lovageshift.Revision, files []File) (*Merged, error) {
	merger := newMerger(lovageshift.NewConfig())
	merger.sources = map[string]Source{}
	for _, file := range sorted(files) {
		merger.add(file)
	}
	for _, problem := range merger.config.Validate() {
		merger.faults = append(merger.faults, merger.locate(problem))
	}
	if len(merger.faults) > 0 {
		return nil, merger.faults
	}
	return merger.finish(revision, files)
}

func (m *merger) add(file File) {
	document, fault := parse(file)
	if fault != nil {
		m.faults = append(m.faults, *fault)
		return
	}
	for _, section := range sortedKeys(document.values) {
		m.addSection(document, section, document.values[section])
	}
}

func (m *merger) addSection(document *document, section string, value any) {
	members, isTable := value.(map[string]any)
	if !isTable {
		m.fault(document, section, "must be a table")
		return
	}
	if section == limitsSection {
		m.names = append(m.names, EntityName{Section: limitsSection})
		m.addFields(document, section, &m.config.Limits, members)
		return
	}
	for _, name := range sortedKeys(members) {
		path := section + "." + name
		fields, isMember := members[name].(map[string]any)
		if !isMember {
			m.fault(document, path, "must be a table")
			continue
		}
		if !validName(name) {
			m.fault(document, path, "names are letters, digits, - and _, 64 at most")
			continue
		}
		m.names = append(m.names, EntityName{section, name})
		if !m.wanted(section, name) {
			continue
		}
		entity := m.config.Entity(section, name)
		if entity == nil {
			m.fault(document, section, "unknown section")
			return
		}
		m.note(document, path, "")
		m.addFields(document, path, entity, fields)
	}
}

const maxNameBytes = 64

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}) < 0
}

func (m *merger) addFields(document *document, path string, entity any, fields map[string]any) {
	into := reflect.ValueOf(entity).Elem()
	known := m.fieldsOf(into.Type())
	for _, name := range sortedKeys(fields) {
		fieldPath := path + "." + name
		index, found := known[name]
		if !found {
			m.fault(document, fieldPath, "unknown key")
			continue
		}
		if message := assign(into.Field(index), fields[name]); message != "" {
			m.fault(document, fieldPath, message)
			continue
		}
		m.note(document, fieldPath, fmt.Sprintf("%#v", fields[name]))
	}
}

func (m *merger) fieldsOf(kind reflect.Type) map[string]int {
	if known := m.fields[kind]; known != nil {
		return known
	}
	known := map[string]int{}
	for i := range kind.NumField() {
		name := kind.Field(i).Tag.Get("toml")
		if name != "" && name != "-" {
			known[name] = i
		}
	}
	m.fields[kind] = known
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

// note records where a path was set; a member by itself has no value.
func (m *merger) note(document *document, path, text string) {
	if m.sources != nil {
		m.sources[path] = Source{document.name, document.lineOf(path), text}
	}
}

func (m *merger) fault(document *document, path, message string) {
	m.faults = append(m.faults, Fault{document.name, document.lineOf(path), path, message})
}

// locate turns a problem at a path into a fault at the place that set the path or its nearest parent.
func (m *merger) locate(problem lovageshift.Problem) Fault {
	path := problem.Path
	for path != "" {
		if source, found := m.sources[path]; found {
			return Fault{source.File, source.Line, problem.Path, problem.Message}
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			break
		}
		path = path[:cut]
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
