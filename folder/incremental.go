package folder

import (
	"slices"

	"lovageshift"
)

// Merger merges successive sets of files. For each set it parses only the files that changed since the last valid set
// and those that set the same entities, unless a new, changed or removed file sets limits or the set has faults: it
// then parses all files. The result always equals that of the function Merge. A Merger is not safe for concurrent use.
type Merger struct {
	// The fields describe the last valid set.
	digests          map[string]Digest       // by file name
	entitiesByDigest map[Digest][]EntityName // the entities that each file sets, by the file's digest
	config           *lovageshift.Config
}

// NewMerger returns a merger without a last set, which therefore parses all files of the first set.
func NewMerger() *Merger { return &Merger{} }

// Merge merges and validates the files of a set. The error is Faults. After an error the next set is compared with the
// last valid set, not with the faulty one.
func (m *Merger) Merge(revision lovageshift.Revision, files []File) (*lovageshift.Config, error) {
	if m.config == nil {
		return m.mergeAll(revision, files)
	}
	entities := map[Digest][]EntityName{}
	affected := m.affectedEntities(files, entities)
	if affected == nil {
		return m.mergeAll(revision, files)
	}
	return m.mergeAffected(revision, files, entities, affected)
}

// mergeAll merges the set from all its files.
func (m *Merger) mergeAll(revision lovageshift.Revision, files []File) (*lovageshift.Config, error) {
	b := newBuilder(lovageshift.NewConfig())
	entities := map[Digest][]EntityName{}
	for _, file := range sortedFiles(files) {
		b.entities = nil
		b.add(file)
		entities[file.Digest] = slices.Clip(b.entities)
	}
	merged, err := b.finish(revision, files)
	if err != nil {
		return nil, err
	}
	m.saveResult(files, entities, merged.Config)
	return merged.Config, nil
}

// saveResult stores the digests, entities and configuration of a valid set, for the comparison with the next set.
func (m *Merger) saveResult(files []File, entities map[Digest][]EntityName, config *lovageshift.Config) {
	m.digests = make(map[string]Digest, len(files))
	for _, file := range files {
		m.digests[file.Name] = file.Digest
	}
	m.entitiesByDigest = entities
	m.config = config
}

// affectedEntities returns the entities to rebuild: those that a new or changed file sets, and those that a changed or
// removed file set in the last valid set. It also fills the map entities with the entities that each file sets, by the
// file's digest. It returns nil if the limits are to be rebuilt: as Config.Remove cannot reset them, this takes a merge
// of all files.
func (m *Merger) affectedEntities(files []File, entities map[Digest][]EntityName) map[EntityName]bool {
	affected := map[EntityName]bool{}
	seen := map[string]bool{}
	for _, file := range files {
		seen[file.Name] = true
		previous, existed := m.digests[file.Name]
		if existed && previous == file.Digest {
			entities[file.Digest] = m.entitiesByDigest[file.Digest]
			continue
		}
		entities[file.Digest] = entitiesOf(file)
		addEntities(affected, entities[file.Digest])
		addEntities(affected, m.entitiesByDigest[previous])
	}
	for name, digest := range m.digests {
		if !seen[name] {
			addEntities(affected, m.entitiesByDigest[digest])
		}
	}
	if affected[EntityName{Section: limitsSection}] {
		return nil
	}
	return affected
}

func addEntities(affected map[EntityName]bool, entities []EntityName) {
	for _, name := range entities {
		affected[name] = true
	}
}

// entitiesOf returns the entities that the file sets, without building them. It returns none if the file has a syntax
// error.
func entitiesOf(file File) []EntityName {
	b := newBuilder(lovageshift.NewConfig())
	b.includes = func(string, string) bool { return false }
	b.add(file)
	return b.entities
}

// mergeAffected rebuilds the affected entities, from the files that set them, in a copy of the last valid
// configuration.
func (m *Merger) mergeAffected(revision lovageshift.Revision, files []File, entities map[Digest][]EntityName, affected map[EntityName]bool) (*lovageshift.Config, error) {
	config := m.config.Clone()
	for name := range affected {
		config.Remove(name.Section, name.Name)
	}
	b := newBuilder(config)
	b.includes = func(section, name string) bool { return affected[EntityName{section, name}] }
	for _, file := range sortedFiles(files) {
		setsAffected := slices.ContainsFunc(entities[file.Digest], func(name EntityName) bool { return affected[name] })
		if setsAffected || m.digests[file.Name] != file.Digest {
			b.add(file)
		}
	}
	merged, err := b.finish(revision, files)
	if err != nil {
		return nil, err
	}
	m.saveResult(files, entities, merged.Config)
	return merged.Config, nil
}
