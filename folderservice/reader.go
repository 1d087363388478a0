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
	// The largest response body that is read, in bytes: the content of a file, a manifest or the list of VMs.
	maxBodyBytes = 1 << 20
	// Most bytes of a response header. net/http reads up to 10 MB by default.
	maxHeaderBytes = 64 << 10
	// Most bytes of all files of a revision.
	maxSetBytes = 64 << 20
	// The longest duration of VMs. Watch, including the download of the files, has this long in addition to its wait.
	callTimeout = 3 * time.Second
)

// ErrRateLimited is returned when the service refuses a read because of its rate limit.
var ErrRateLimited = errors.New("configuration service refused the read: rate limit exceeded")

// Manifest lists the files of one revision.
type Manifest struct {
	Revision lovageshift.Revision `json:"revision"`
	Files    []ManifestFile       `json:"files"`
}

// ManifestFile is one file of a manifest; Digest is the SHA-256 of the file's content in hex.
type ManifestFile struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// VMList is the platform's list of live VMs and of those that the platform is taking away (leaving). A VM is listed by
// the id of the target on it. The list lags behind the actual state. An entry uses the target of a leaving VM only if
// no other target is eligible.
type VMList struct {
	Live    []string `json:"live"`
	Leaving []string `json:"leaving"`
}

// Reader reads the platform's configuration service over HTTP. Only one call of Watch may run at a time. The other
// methods are safe for concurrent use, also during a Watch.
type Reader struct {
	baseURL         string
	client          *http.Client
	contentByDigest map[folder.Digest][]byte // of the files of the last set that Watch read completely
}

// NewReader returns a reader of the service at the address, an IP:port. The function dial opens the reader's
// connections; if it is nil, they are plain TCP connections.
func NewReader(address string, dial func(ctx context.Context, network, address string) (net.Conn, error)) *Reader {
	return &Reader{
		baseURL:         "http://" + address,
		client:          &http.Client{Transport: &http.Transport{DialContext: dial, MaxResponseHeaderBytes: maxHeaderBytes}},
		contentByDigest: map[folder.Digest][]byte{},
	}
}

// Watch waits until the service has a revision other than knownRevision and returns the set of its files. It returns
// nil if there is no other revision within the wait, or if the service answers with knownRevision and with files whose
// digest is knownDigest. The set may be of a revision below knownRevision, as a stale replica of the service may
// answer.
func (r *Reader) Watch(ctx context.Context, knownRevision lovageshift.Revision, knownDigest folder.Digest, wait time.Duration) (*folder.Set, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var manifest Manifest
	path := fmt.Sprintf("/v1/config?after=%d&waitMillis=%d", knownRevision, wait.Milliseconds())
	found, err := r.getJSON(ctx, path, &manifest)
	if err != nil || !found {
		return nil, err
	}
	set := &folder.Set{Revision: manifest.Revision}
	contentByDigest := map[folder.Digest][]byte{}
	size := 0
	for _, listed := range manifest.Files {
		file, err := r.readFile(ctx, manifest.Revision, listed)
		if err != nil {
			return nil, err
		}
		if size += len(file.Content); size > maxSetBytes {
			return nil, trace.BadParameter("the files of revision %d are larger than %d bytes", manifest.Revision, maxSetBytes)
		}
		contentByDigest[file.Digest] = file.Content
		set.Files = append(set.Files, file)
	}
	r.contentByDigest = contentByDigest
	if set.Digest() == knownDigest && manifest.Revision == knownRevision {
		return nil, nil
	}
	return set, nil
}

// readFile returns a file that the manifest of the revision lists. It downloads the content unless r.contentByDigest
// already has it.
func (r *Reader) readFile(ctx context.Context, revision lovageshift.Revision, listed ManifestFile) (folder.File, error) {
	var digest folder.Digest
	if _, err := hex.Decode(digest[:], []byte(listed.Digest)); err != nil {
		return folder.File{}, trace.BadParameter("file %q has no valid SHA-256 digest in the manifest", listed.Name)
	}
	if content, known := r.contentByDigest[digest]; known {
		return folder.File{Name: listed.Name, Content: content, Digest: digest}, nil
	}
	path := "/v1/config/files/" + url.PathEscape(listed.Name) + "?revision=" + strconv.FormatInt(int64(revision), 10)
	response, err := r.get(ctx, path)
	if err != nil {
		return folder.File{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil || len(content) > maxBodyBytes {
		return folder.File{}, trace.BadParameter("file %q is truncated or larger than %d bytes", listed.Name, maxBodyBytes)
	}
	file := folder.NewFile(listed.Name, content)
	if file.Digest != digest {
		return folder.File{}, trace.BadParameter("content of file %q does not match its digest in the manifest", listed.Name)
	}
	return file, nil
}

// VMs reads the platform's list of VMs.
func (r *Reader) VMs(ctx context.Context) (VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var list VMList
	_, err := r.getJSON(ctx, "/v1/machines", &list)
	return list, err
}

// getJSON decodes the JSON response to a GET request into result. It returns false and leaves result unchanged if the
// service answered 304 Not Modified.
func (r *Reader) getJSON(ctx context.Context, path string, result any) (bool, error) {
	response, err := r.get(ctx, path)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return false, nil
	}
	return true, trace.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(result), "read %s", path)
}

// get sends a GET request and returns the response, whose body the caller must close. Any status other than 200 and 304
// is an error.
func (r *Reader) get(ctx context.Context, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL+path, nil)
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
