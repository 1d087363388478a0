package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/platform"
)

const (
	// Timeout for asking a target for its report, from opening the connection on.
	reportTimeout = 500 * time.Millisecond
	// Largest report that is read, in bytes. A report lists the requests that run at the target.
	maxReportBytes = 64 << 10
)

// ErrNoReport is returned by Born if the target answers that it has no report, as targets of plain services do.
var ErrNoReport = errors.New("the target has no report")

// errOtherTarget is the error of Born if another target answers at the address.
var errOtherTarget = errors.New("another target is at the address")

// How often StillRuns asks at most, and how long it waits between.
const (
	maxRunChecks  = 3
	runCheckPause = 30 * time.Millisecond
)

// StillRuns reports whether the target's incarnation answers a call that is made now. Any answer shows that, unless it is that
// of another target or tells the start of another incarnation. A connection that is refused shows that the incarnation has ended;
// other failures, such as a reset because the target has too many connections, do not, so that StillRuns asks again.
func StillRuns(ctx context.Context, target *catalog.Target) bool {
	for range maxRunChecks {
		born, err := Born(ctx, target)
		switch {
		case err == nil:
			return born == target.Born
		case errors.Is(err, errOtherTarget), errors.Is(err, syscall.ECONNREFUSED):
			return false
		case errors.Is(err, ErrNoReport), errors.Is(err, ErrInvalidResponse), errors.Is(err, platform.ErrInvalidReport):
			return true
		}
		lovageshift.Pause(ctx, runCheckPause)
	}
	return false
}

// Born asks the target, on a connection of its own, when its present incarnation started, and returns the wall time in
// milliseconds since the Unix epoch.
func Born(ctx context.Context, target *catalog.Target) (int64, error) {
	return askBorn(ctx, target, nil)
}

// Born is the function Born, but keeps the connection open afterwards. Until the target ends it, or it has been idle for as long as
// others may be, it shows that the target has not restarted (see OnPossibleRestart). No request is sent on it.
func (p *Pool) Born(ctx context.Context, target *catalog.Target) (int64, error) {
	return askBorn(ctx, target, p.keepWatch)
}

// askBorn is the function Born. If the target has answered as the incarnation that is known, and leaves the connection open, askBorn
// passes the connection to keep, which may be nil, with the timeout that the target announced for it.
func askBorn(ctx context.Context, target *catalog.Target, keep func(*conn, lovageshift.Millis)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	c, err := dial(ctx, connKey{target.ID, target.Born, target.Address})
	if err != nil {
		return 0, errors.Join(ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	born, response, err := c.askBorn(target, keep != nil)
	inTime := stop()
	if err != nil || born != target.Born || !inTime || keep == nil || response.Close || !c.inTurn() {
		_ = c.Close()
		return born, err
	}
	keep(c, keepAliveTimeout(response.Header.Get("Keep-Alive")))
	return born, nil
}

// askBorn asks for the report on the connection, and returns the start that the target reports and the response, whose body has been read.
func (c *conn) askBorn(target *catalog.Target, keep bool) (int64, *http.Response, error) {
	request := &Request{Method: http.MethodGet, URI: platform.ReportPath, Host: target.Address, Header: platform.ReportHeader(target.ID)}
	if !keep {
		request.Header.Set("Connection", "close")
	}
	if err := c.writeRequest(request); err != nil {
		return 0, nil, trace.Wrap(ErrConnectionLost, "write: %v", err)
	}
	response, err := c.readHeader(http.MethodGet)
	if err != nil {
		return 0, nil, headerError(err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed:
		return 0, nil, trace.Wrap(ErrNoReport, "status %d", response.StatusCode)
	case http.StatusMisdirectedRequest:
		return 0, nil, trace.Wrap(errOtherTarget, "status %d", response.StatusCode)
	default:
		return 0, nil, trace.Wrap(ErrInvalidResponse, "status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return 0, nil, trace.Wrap(ErrConnectionLost, "body: %v", err)
	}
	born, err := platform.DecodeReport(body)
	return born, response, err
}
