package try

import (
	"embed"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"lovageshift/folder"
)

//go:embed sample/*.toml
var sample embed.FS

// API keys of the accounts face-painters and rounds of the sample folder, which holds only their hashes.
var (
	PaintersKey = "ls_" + strings.Repeat("a", 64)
	RoundsKey   = "ls_" + strings.Repeat("b", 64)
)

// SampleFiles returns the files of the sample folder, sorted by name.
func SampleFiles() ([]folder.File, error) {
	entries, err := sample.ReadDir("sample")
	if err != nil {
		return nil, trace.Wrap(err, "read sample")
	}
	var files []folder.File
	for _, entry := range entries {
		content, err := sample.ReadFile("sample/" + entry.Name())
		if err != nil {
			return nil, trace.Wrap(err, "read sample %s", entry.Name())
		}
		files = append(files, folder.NewFile(entry.Name(), content))
	}
	return files, nil
}

// WriteSample writes the sample folder to the path, or does nothing if something exists there already.
func WriteSample(path string) error {
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		return trace.Wrap(err, "look for sample folder")
	}
	files, err := SampleFiles()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(path, 0o755); err != nil {
		return trace.Wrap(err, "make sample folder")
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(path, file.Name), file.Content, 0o644); err != nil {
			return trace.Wrap(err, "write %s", file.Name)
		}
	}
	return nil
}
