package folderservice

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"lovageshift"
	"lovageshift/folder"
)

const (
	maxValueBytes = 1 << 20
	callTimeout   = 3 * time.Second
)

// ErrRateLimited is returned when the service has no room for another read.
var ErrRateLimited = errors.New("read rate of the configuration service exceeded")

// Manifest names the files of one revision.
type Manifest struct {
	Revision lovageshift.Revision `json:"revision"`
	Files    []ManifestFile       `json:"files"`
}

// ManifestFile is one file of a manifest with the SHA-256 of its content in hex.
type ManifestFile struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// VMList is the platform's lagging list of VMs, by process id.
type VMList struct {
	Live    []string `json:"live"`
	Leaving []string `json:"leaving"`
}

// Reader reads the platform's configuration service.
type Reader struct {
	base   string
	client *http.Client
	files  map[folder.Digest][]byte
}

// NewReader returns a reader of the service at IP:port; a nil dial uses TCP.
func NewReader(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Reader {
	return &Reader{
		base:   "http://" + address,
		client: &http.Client{Transport: &http.Transport{DialContext: dial}},
		files:  map[folder.Digest][]byte{},
	}
}

// Watch returns a set that differs from the one in force, or nil when the service had none within the wait.
func (s *Reader) Watch(ctx context.Context, after lovageshift.Revision, known folder.Digest, wait time.Duration) (*folder.Set, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var manifest Manifest
	path := fmt.Sprintf("/v1/config?after=%d&waitMillis=%d", after, wait.Milliseconds())
	found, err := s.getJSON(ctx, path, &manifest)
	if err != nil || !found {
		return nil, err
	}
	set := &folder.Set{Revision: manifest.Revision}
	kept := map[folder.Digest][]byte{}
	for _, entry := range manifest.Files {
		file, err := s.file(ctx, manifest.Revision, entry)
		if err != nil {
			return nil, err
		}
		kept[file.Digest] = file.Content
		set.Files = append(set.Files, file)
	}
	s.files = kept
	if set.Digest() == known && manifest.Revision == after {
		return nil, nil
	}
	return set, nil
}

// file reads a file unless its content is known from the last set.
func (s *Reader) file(ctx context.Context, revision lovageshift.Revision, entry ManifestFile) (folder.File, error) {
	var digest folder.Digest
	if _, err := hex.Decode(digest[:], []byte(entry.Digest)); err != nil {
		return folder.File{}, trace.BadParameter("file %q has no digest", entry.Name)
	}
	if content, known := s.files[digest]; known {
		return folder.File{Name: entry.Name, Content: content, Digest: digest}, nil
	}
	path := "/v1/config/files/" + url.PathEscape(entry.Name) + "?revision=" + strconv.FormatInt(int64(revision), 10)
	response, err := s.get(ctx, path)
	if err != nil {
		return folder.File{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil || len(content) > maxValueBytes {
		return folder.File{}, trace.BadParameter("file %q is cut short or larger than %d bytes", entry.Name, maxValueBytes)
	}
	file := folder.NewFile(entry.Name, content)
	if file.Digest != digest {
		return folder.File{}, trace.BadParameter("file %q does not match its digest", entry.Name)
	}
	return file, nil
}

// VMs reads the list of live and leaving VMs.
func (s *Reader) VMs(ctx context.Context) (VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var machines VMList
	_, err := s.getJSON(ctx, "/v1/machines", &machines)
	return machines, err
}

func (s *Reader) getJSON(ctx context.Context, path string, into any) (bool, error) {
	response, err := s.get(ctx, path)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return false, nil
	}
	return true, trace.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxValueBytes)).Decode(into), "read %s", path)
}

func (s *Reader) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+path, nil)
	if err != nil {
		return nil, trace.Wrap(err, "build request")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err, "reach the configuration service")
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNotModified:
		return response, nil
	case http.StatusTooManyRequests:
		_ = response.Body.Close()
		return nil, ErrRateLimited
	default:
		_ = response.Body.Close()
		return nil, trace.BadParameter("the configuration service answered %d", response.StatusCode)
	}
}

// Close closes idle connections.
func (s *Reader) Close() { s.client.CloseIdleConnections() }
