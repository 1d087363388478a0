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
	// The pause between two reads of the folder by Watch.
	pollInterval = 250 * time.Millisecond
)

// Set holds the files of one revision of a configuration folder.
type Set struct {
	Revision lovageshift.Revision
	Files    []File
}

// Digest returns the digest of the set's file names and contents; the revision is not part of it.
func (s *Set) Digest() Digest { return SetDigest(s.Files) }

// Directory reads a configuration folder on disk. The revision of a set is the newest modification time of the folder
// and its TOML files, in milliseconds since the Unix epoch. It is higher if it would otherwise fall, or stay the same
// though the content changed (see raiseRevision). A Directory is not safe for concurrent use.
type Directory struct {
	path         string
	lastRevision lovageshift.Revision
	lastDigest   Digest
}

// NewDirectory returns a reader of the folder at path.
func NewDirectory(path string) *Directory { return &Directory{path: path} }

// Watch polls the folder until its revision is above knownRevision or its digest differs from knownDigest, and then
// returns the set. If neither is so by the end of the wait, it returns nil.
func (d *Directory) Watch(ctx context.Context, knownRevision lovageshift.Revision, knownDigest Digest, wait time.Duration) (*Set, error) {
	for deadline := time.Now().Add(wait); ; {
		set, err := d.Read()
		if err != nil {
			return nil, err
		}
		if set.Revision > knownRevision || set.Digest() != knownDigest {
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

// Read returns the TOML files directly in the folder, without subfolders, and their revision. A file above 1 MiB is an
// error.
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

// raiseRevision raises the set's revision where the modification times are not enough. If the content changed, the
// revision must be above that of the last read, also if no modification time is newer, as after a copy that keeps the
// times. If the content is unchanged, the revision must not be below that of the last read.
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

// readFile adds the file to the set and, if its modification time is above the set's revision, raises the revision to
// it.
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
