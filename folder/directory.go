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

// Set holds the files of one published revision.
type Set struct {
	Revision lovageshift.Revision
	Files    []File
}

// Digest returns the digest of the set's files.
func (s *Set) Digest() Digest { return SetDigest(s.Files) }

// Directory reads a configuration folder on disk. Its revision is the newest modification time of the folder and its
// files, in milliseconds since the Unix epoch.
type Directory struct {
	path         string
	lastRevision lovageshift.Revision
	lastDigest   Digest
}

// NewDirectory returns a reader of the folder at path.
func NewDirectory(path string) *Directory { return &Directory{path: path} }

// Watch polls the folder and returns its set as soon as the revision is above after or the digest differs from known,
// or nil after the wait.
func (d *Directory) Watch(ctx context.Context, after lovageshift.Revision, known Digest, wait time.Duration) (*Set, error) {
	for deadline := time.Now().Add(wait); ; {
		set, err := d.Read()
		if err != nil {
			return nil, err
		}
		if set.Revision > after || set.Digest() != known {
			return set, nil
		}
		if time.Now().After(deadline) {
			return nil, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// Read returns the folder's TOML files and its revision; a file above 1 MiB is an error.
func (d *Directory) Read() (*Set, error) {
	info, err := os.Stat(d.path)
	if err != nil {
		return nil, trace.Wrap(err, "read configuration folder")
	}
	set := &Set{Revision: lovageshift.Revision(info.ModTime().UnixMilli())}
	dirEntries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, trace.Wrap(err, "list configuration folder")
	}
	for _, dirEntry := range dirEntries {
		if dirEntry.IsDir() || !strings.HasSuffix(dirEntry.Name(), fileSuffix) {
			continue
		}
		if err := d.readFile(set, dirEntry); err != nil {
			return nil, err
		}
	}
	d.raiseRevision(set)
	return set, nil
}

// raiseRevision gives changed content a higher revision even if no modification time rose, as after a copy that keeps
// the times; unchanged content never gets a lower one.
func (d *Directory) raiseRevision(set *Set) {
	digest := set.Digest()
	if d.lastRevision > 0 && digest != d.lastDigest {
		set.Revision = max(set.Revision, d.lastRevision+1)
	}
	if digest == d.lastDigest {
		set.Revision = max(set.Revision, d.lastRevision)
	}
	d.lastRevision, d.lastDigest = set.Revision, digest
}

func (d *Directory) readFile(set *Set, dirEntry os.DirEntry) error {
	info, err := dirEntry.Info()
	if err != nil {
		return trace.Wrap(err, "read file information of %s", dirEntry.Name())
	}
	if info.Size() > maxFileBytes {
		return trace.LimitExceeded("%s is larger than %d bytes", dirEntry.Name(), maxFileBytes)
	}
	content, err := os.ReadFile(filepath.Join(d.path, dirEntry.Name()))
	if err != nil {
		return trace.Wrap(err, "read %s", dirEntry.Name())
	}
	set.Revision = max(set.Revision, lovageshift.Revision(info.ModTime().UnixMilli()))
	set.Files = append(set.Files, NewFile(dirEntry.Name(), content))
	return nil
}
