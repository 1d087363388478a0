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

// ErrRateLimited is returned when the service refuses a read because of its rate limit.
var ErrRateLimited = errors.New("configuration service refused the read: rate limit exceeded")

// Manifest lists the files of one revision.
type Manifest struct {
	Revision lovageshift.Revision `json:"revision"`
	Files    []ManifestFile       `json:"files"`
}

// ManifestFile is one file of a manifest; the digest is the SHA-256 of its content in hex.
type ManifestFile struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// VMList is the platform's list of VMs, by process id. It lags behind the actual state.
type VMList struct {
	Live    []string `json:"live"`
	Leaving []string `json:"leaving"`
}

// Reader reads the platform's configuration service over HTTP. It is not safe for concurrent use.
type Reader struct {
	base     string
	client   *http.Client
	contents map[folder.Digest][]byte
}

// NewReader returns a reader of the service at an IP:port address; a nil dial uses TCP.
func NewReader(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Reader {
	return &Reader{
		base:     "http://" + address,
		client:   &http.Client{Transport: &http.Transport{DialContext: dial}},
		contents: map[folder.Digest][]byte{},
	}
}

// Watch waits for a set that differs from the revision and digest in force, and returns nil if the service has none
// within the wait.
func (r *Reader) Watch(ctx context.Context, after lovageshift.Revision, known folder.Digest, wait time.Duration) (*folder.Set, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var manifest Manifest
	path := fmt.Sprintf("/v1/config?after=%d&waitMillis=%d", after, wait.Milliseconds())
	found, err := r.getJSON(ctx, path, &manifest)
	if err != nil || !found {
		return nil, err
	}
	set := &folder.Set{Revision: manifest.Revision}
	contents := map[folder.Digest][]byte{}
	for _, item := range manifest.Files {
		file, err := r.readFile(ctx, manifest.Revision, item)
		if err != nil {
			return nil, err
		}
		contents[file.Digest] = file.Content
		set.Files = append(set.Files, file)
	}
	r.contents = contents
	if set.Digest() == known && manifest.Revision == after {
		return nil, nil
	}
	return set, nil
}

// readFile returns a file of the manifest, and downloads it unless the last set had the same content.
func (r *Reader) readFile(ctx context.Context, revision lovageshift.Revision, item ManifestFile) (folder.File, error) {
	var digest folder.Digest
	if _, err := hex.Decode(digest[:], []byte(item.Digest)); err != nil {
		return folder.File{}, trace.BadParameter("file %q has no valid SHA-256 digest in the manifest", item.Name)
	}
	if content, known := r.contents[digest]; known {
		return folder.File{Name: item.Name, Content: content, Digest: digest}, nil
	}
	path := "/v1/config/files/" + url.PathEscape(item.Name) + "?revision=" + strconv.FormatInt(int64(revision), 10)
	response, err := r.get(ctx, path)
	if err != nil {
		return folder.File{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxValueBytes+1))
	if err != nil || len(content) > maxValueBytes {
		return folder.File{}, trace.BadParameter("file %q is truncated or larger than %d bytes", item.Name, maxValueBytes)
	}
	file := folder.NewFile(item.Name, content)
	if file.Digest != digest {
		return folder.File{}, trace.BadParameter("content of file %q does not match its digest in the manifest", item.Name)
	}
	return file, nil
}

// VMs reads the list of live and leaving VMs.
func (r *Reader) VMs(ctx context.Context) (VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list VMList
	_, err := r.getJSON(ctx, "/v1/machines", &list)
	return list, err
}

// getJSON decodes the answer to a GET request into the value; it reports false if the service answered 304.
func (r *Reader) getJSON(ctx context.Context, path string, into any) (bool, error) {
	response, err := r.get(ctx, path)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return false, nil
	}
	return true, trace.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxValueBytes)).Decode(into), "read %s", path)
}

// get sends a GET request. The caller closes the body of the response, whose status is 200 or 304.
func (r *Reader) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+path, nil)
	if err != nil {
		return nil, trace.Wrap(err, "build request")
	}
	response, err := r.client.Do(request)
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

// Close closes the idle connections to the service.
func (r *Reader) Close() { r.client.CloseIdleConnections() }
