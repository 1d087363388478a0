package folder

import (
	"slices"

	"lovageshift"
)

// Merger merges one set after the other and reads again only the files that an edit touches.
// Its result is always that of Merge.
type Merger struct {
	files  map[string]Digest
	names  map[Digest][]EntityName // members that each file sets
	config *lovageshift.Config
}

// NewMerger returns a merger that has seen no set.
func NewMerger() *Merger { return &Merger{} }

// Merge merges and checks a set; after an error the next set is compared with the last good one.
func (m *Merger) Merge(revision lovageshift.Revision, files []File) (*lovageshift.Config, error) {
	if m.config == nil {
		return m.whole(revision, files)
	}
	names := map[Digest][]EntityName{}
	affected := m.affected(files, names)
	if affected == nil {
		return m.whole(revision, files)
	}
	return m.part(revision, files, names, affected)
}

// whole reads every file.
func (m *Merger) whole(revision lovageshift.Revision, files []File) (*lovageshift.Config, error) {
	merger := newMerger(lovageshift.NewConfig())
	names := map[Digest][]EntityName{}
	for _, file := range sorted(files) {
		merger.names = nil
		merger.add(file)
		names[file.Digest] = slices.Clip(merger.names)
	}
	merged, err := merger.finish(revision, files)
	if err != nil {
		return nil, err
	}
	m.keep(files, names, merged.Config)
	return merged.Config, nil
}

func (m *Merger) keep(files []File, names map[Digest][]EntityName, config *lovageshift.Config) {
	m.files = make(map[string]Digest, len(files))
	for _, file := range files {
		m.files[file.Name] = file.Digest
	}
	m.names = names
	m.config = config
}

// affected returns the members that changed, new or removed files set, or nil when every file has to be read:
// for limits, which no member holds.
func (m *Merger) affected(files []File, names map[Digest][]EntityName) map[EntityName]bool {
	affected := map[EntityName]bool{}
	seen := map[string]bool{}
	for _, file := range files {
		seen[file.Name] = true
		before, existed := m.files[file.Name]
		if existed && before == file.Digest {
			names[file.Digest] = m.names[file.Digest]
			continue
		}
		names[file.Digest] = namesOf(file)
		mark(affected, names[file.Digest])
		mark(affected, m.names[before])
	}
	for name, digest := range m.files {
		if !seen[name] {
			mark(affected, m.names[digest])
		}
	}
	if affected[EntityName{Section: limitsSection}] {
		return nil
	}
	return affected
}

func mark(affected map[EntityName]bool, names []EntityName) {
	for _, name := range names {
		affected[name] = true
	}
}

func namesOf(file File) []EntityName {
	merger := newMerger(lovageshift.NewConfig())
	merger.wanted = func(string, string) bool { return false }
	merger.add(file)
	return merger.names
}

// part builds the affected members anew, from the files that set them, on a copy of the last configuration.
func (m *Merger) part(revision lovageshift.Revision, files []File, names map[Digest][]EntityName, affected map[EntityName]bool) (*lovageshift.Config, error) {
	config := m.config.Clone()
	for name := range affected {
		config.Remove(name.Section, name.Name)
	}
	merger := newMerger(config)
	merger.wanted = func(section, name string) bool { return affected[EntityName{section, name}] }
	for _, file := range sorted(files) {
		touches := slices.ContainsFunc(names[file.Digest], func(name EntityName) bool { return affected[name] })
		if touches || m.files[file.Name] != file.Digest {
			merger.add(file)
		}
	}
	merged, err := merger.finish(revision, files)
	if err != nil {
		return nil, err
	}
	m.keep(files, names, merged.Config)
	return merged.Config, nil
}
