package dfpnode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfpbackend"
	"dragonflyport/internal/link/dfpcaller"
	"dragonflyport/internal/vm/dfpvm"
)

// Limits of the egress listener.
const (
	maxEgressBody   = 1 << 20 // In bytes.
	maxAnnouncement = 4 << 10 // In bytes.
	// egressWriteTimeout counts from the start of a request. It exceeds 10 min, the longest deadline that a
	// route may have.
	egressWriteTimeout = 11 * time.Minute
	// drainTimeout bounds how long a backend server waits for the acknowledgement of its drain.
	drainTimeout = 2 * time.Second
)

// HeaderIdempotent with the value "yes" marks a nested call as safe to run more than once although its
// method is not idempotent.
const HeaderIdempotent = "Dragonflyport-Idempotent"

// Announcement is a backend server's description of itself. The backend server sends it about once a second.
type Announcement struct {
	Service string `json:"service"`
	// Address is the host:port at which the backend server accepts requests.
	Address string `json:"address"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the backend server accepts.
	Connections int `json:"connections"`
	// Instance identifies the backend server process and changes when it restarts; empty if not announced.
	Instance string `json:"instance,omitempty"`
	// Started is the start time of the process in Unix milliseconds, needed only if a process may start under the
	// instance name of an earlier one; 0 if not announced.
	Started int64 `json:"started,omitempty"`
}

// identity distinguishes the processes of a backend server; empty if they cannot be told apart.
func (a Announcement) identity() string {
	if a.Instance == "" || a.Started == 0 {
		return a.Instance
	}
	return fmt.Sprintf("%s@%d", a.Instance, a.Started)
}

// newEgressServer returns the server for this VM's backend server. It accepts announcements and nested
// calls, which have paths of the form /service/NAME/REST.
func (n *Node) newEgressServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /dragonflyport/announce", n.serveAnnounce)
	mux.HandleFunc("POST /dragonflyport/drain", n.serveDrain)
	mux.HandleFunc("/service/", n.serveNested)
	server := newLocalServer(mux)
	server.WriteTimeout = egressWriteTimeout
	return server
}

func (n *Node) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var announced Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err := decoder.Decode(&announced); err != nil {
		n.metrics.egressRefused.Add(1)
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if announced.Service == "" || announced.Address == "" || announced.Slots <= 0 {
		n.metrics.egressRefused.Add(1)
		http.Error(w, "announcement: service, address and slots must be given", http.StatusBadRequest)
		return
	}
	if err := dfpvm.CheckBackend(announced.Address, announced.Slots); err != nil {
		n.metrics.egressRefused.Add(1)
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	n.Announce(announced)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) serveDrain(w http.ResponseWriter, r *http.Request) {
	n.Drain()
	backend, _ := n.guard.state()
	ctx, cancel := context.WithTimeout(r.Context(), drainTimeout)
	defer cancel()
	if err := n.Depart(ctx, backend.Instance, backend.Started); err != nil {
		http.Error(w, err.Error()+"; call again", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveNested runs a nested call. Organisation, importance, deadline and budget come from the parent
// request, never from the call's headers.
func (n *Node) serveNested(w http.ResponseWriter, r *http.Request) {
	running := n.parents.find(r.Header.Get(dfpbackend.HeaderParent))
	if running == nil {
		n.metrics.egressRefused.Add(1)
		dfpcaller.WriteOutcome(w, &dfpcall.NotRun{Reason: dfpcall.ReasonParentUnknown})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEgressBody))
	if err != nil {
		n.metrics.egressRefused.Add(1)
		dfpcaller.WriteOutcome(w, &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest})
		return
	}
	ctx, cancel := context.WithCancel(running.ctx)
	defer cancel()
	// A backend server that cancels its nested call closes the connection.
	defer context.AfterFunc(r.Context(), cancel)()
	req := n.newNestedRequest(running, r, body)
	out := n.dispatchNested(ctx, running, req, r.Header.Get(dfpcaller.HeaderIdempotencyKey))
	dfpcaller.WriteOutcome(w, out)
}

// nestedClass is the class of all nested calls that match no route.
const nestedClass = "nested"

func (n *Node) newNestedRequest(running *parent, r *http.Request, body []byte) *dfpcall.Request {
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/service/"), "/")
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	idempotent := r.Method == http.MethodGet || r.Method == http.MethodHead || r.Header.Get(HeaderIdempotent) == "yes"
	header := r.Header.Clone()
	dfpcaller.RemoveInternalHeaders(header)
	return &dfpcall.Request{
		Root:         running.req.Root,
		Organisation: running.req.Organisation,
		Importance:   running.req.Importance,
		Cohort:       running.req.Cohort,
		Depth:        running.req.Depth + 1,
		Service:      service,
		Class:        nestedClass,
		Idempotent:   idempotent,
		Method:       r.Method,
		Path:         path,
		Header:       header,
		Body:         body,
	}
}
