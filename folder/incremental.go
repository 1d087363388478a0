package folder

import (
	"slices"

	"lovageshift"
)

// Merger merges successive sets and parses again only the files that an edit affects. Its result always equals that of
// Merge on the whole set. It is not safe for concurrent use.
type Merger struct {
	digests         map[string]Digest       // by file name, of the last valid set
	membersByDigest map[Digest][]EntityName // members that each file sets
	config          *lovageshift.Config
}

// NewMerger returns a merger whose first set is read whole.
func NewMerger() *Merger { return &Merger{} }

// Merge merges and validates a set. After an error the next set is compared with the last valid one, not with the
// faulty one.
func (m *Merger) Merge(revision lovageshift.Revision, files []File) (*lovageshift.Config, error) {
	if m.config == nil {
		return m.mergeAll(revision, files)
	}
	members := map[Digest][]EntityName{}
	affected := m.affectedMembers(files, members)
	if affected == nil {
		return m.mergeAll(revision, files)
	}
	return m.mergeAffected(revision, files, members, affected)
}

// mergeAll merges the set from all its files.
func (m *Merger) mergeAll(revision lovageshift.Revision, files []File) (*lovageshift.Config, error) {
	b := newBuilder(lovageshift.NewConfig())
	members := map[Digest][]EntityName{}
	for _, file := range sortedFiles(files) {
		b.members = nil
		b.add(file)
		members[file.Digest] = slices.Clip(b.members)
	}
	merged, err := b.finish(revision, files)
	if err != nil {
		return nil, err
	}
	m.saveResult(files, members, merged.Config)
	return merged.Config, nil
}

// saveResult keeps what the next merge is compared with.
func (m *Merger) saveResult(files []File, members map[Digest][]EntityName, config *lovageshift.Config) {
	m.digests = make(map[string]Digest, len(files))
	for _, file := range files {
		m.digests[file.Name] = file.Digest
	}
	m.membersByDigest = members
	m.config = config
}

// affectedMembers returns the members that changed, new or removed files set, and adds to members what each file sets.
// It returns nil when every file has to be read: limits are no member of a section, so they can't be rebuilt alone.
func (m *Merger) affectedMembers(files []File, members map[Digest][]EntityName) map[EntityName]bool {
	affected := map[EntityName]bool{}
	seen := map[string]bool{}
	for _, file := range files {
		seen[file.Name] = true
		previous, existed := m.digests[file.Name]
		if existed && previous == file.Digest {
			members[file.Digest] = m.membersByDigest[file.Digest]
			continue
		}
		members[file.Digest] = membersOf(file)
		addMembers(affected, members[file.Digest])
		addMembers(affected, m.membersByDigest[previous])
	}
	for name, digest := range m.digests {
		if !seen[name] {
			addMembers(affected, m.membersByDigest[digest])
		}
	}
	if affected[EntityName{Section: limitsSection}] {
		return nil
	}
	return affected
}

func addMembers(affected map[EntityName]bool, members []EntityName) {
	for _, name := range members {
		affected[name] = true
	}
}

// membersOf returns the members that the file sets, without building them.
func membersOf(file File) []EntityName {
	b := newBuilder(lovageshift.NewConfig())
	b.includes = func(string, string) bool { return false }
	b.add(file)
	return b.members
}

// mergeAffected rebuilds the affected members, from the files that set them, in a copy of the last configuration.
func (m *Merger) mergeAffected(revision lovageshift.Revision, files []File, members map[Digest][]EntityName, affected map[EntityName]bool) (*lovageshift.Config, error) {
	config := m.config.Clone()
	for name := range affected {
		config.Remove(name.Section, name.Name)
	}
	b := newBuilder(config)
	b.includes = func(section, name string) bool { return affected[EntityName{section, name}] }
	for _, file := range sortedFiles(files) {
		touches := slices.ContainsFunc(members[file.Digest], func(name EntityName) bool { return affected[name] })
		if touches || m.digests[file.Name] != file.Digest {
			b.add(file)
		}
	}
	merged, err := b.finish(revision, files)
	if err != nil {
		return nil, err
	}
	m.saveResult(files, members, merged.Config)
	return merged.Config, nil
}
