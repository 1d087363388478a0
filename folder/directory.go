package folder

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"lovageshift"
)

const (
	fileSuffix   = ".toml"
	maxFileBytes = 1 << 20
	pollInterval = 250 * time.Millisecond
)

// Set is the files of one published revision.
type Set struct {
	Revision lovageshift.Revision
	Files    []File
}

// Digest returns the digest of the set's files.
func (s *Set) Digest() Digest { return SetDigest(s.Files) }

// Directory reads a configuration folder on disk; its revision is the newest change time in milliseconds.
type Directory struct {
	path  string
	last  lovageshift.Revision
	known Digest
}

// NewDirectory returns a source that reads the folder at path.
func NewDirectory(path string) *Directory { return &Directory{path: path} }

// Watch returns the folder's set as soon as it differs from the revision and digest in force, or nil after the wait.
func (d *Directory) Watch(ctx context.Context, after lovageshift.Revision, known Digest, wait time.Duration) (*Set, error) {
	for end := time.Now().Add(wait); ; {
		set, err := d.Read()
		if err != nil {
			return nil, err
		}
		if set.Revision > after || set.Digest() != known {
			return set, nil
		}
		if time.Now().After(end) {
			return nil, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// Read returns the folder's files and revision.
func (d *Directory) Read() (*Set, error) {
	info, err := os.Stat(d.path)
	if err != nil {
		return nil, trace.Wrap(err, "read configuration folder")
	}
	set := &Set{Revision: lovageshift.Revision(info.ModTime().UnixMilli())}
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, trace.Wrap(err, "list configuration folder")
	}
	for _, entry := range entries {
		if entry.IsDir() || !strings.HasSuffix(entry.Name(), fileSuffix) {
			continue
		}
		if err := d.readFile(set, entry); err != nil {
			return nil, err
		}
	}
	d.raise(set)
	return set, nil
}

// raise gives changed content a higher revision also where no change time rose, as after a copy that kept it.
func (d *Directory) raise(set *Set) {
	digest := set.Digest()
	if d.last > 0 && digest != d.known {
		set.Revision = max(set.Revision, d.last+1)
	}
	if digest == d.known {
		set.Revision = max(set.Revision, d.last)
	}
	d.last, d.known = set.Revision, digest
}

func (d *Directory) readFile(set *Set, entry os.DirEntry) error {
	info, err := entry.Info()
	if err != nil {
		return trace.Wrap(err, "read file information of %s", entry.Name())
	}
	if info.Size() > maxFileBytes {
		return trace.LimitExceeded("%s is larger than %d bytes", entry.Name(), maxFileBytes)
	}
	content, err := os.ReadFile(filepath.Join(d.path, entry.Name()))
	if err != nil {
		return trace.Wrap(err, "read %s", entry.Name())
	}
	set.Revision = max(set.Revision, lovageshift.Revision(info.ModTime().UnixMilli()))
	set.Files = append(set.Files, NewFile(entry.Name(), content))
	return nil
}
