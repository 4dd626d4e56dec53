package dfpnode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfpbackend"
	"dragonflyport/internal/link/dfpcaller"
)

// Limits of the loopback listener for this VM's backend server.
const (
	maxEgressBody   = 1 << 20 // bytes
	maxAnnouncement = 4 << 10 // bytes
	// egressWriteTimeout counts from the request and is above the longest deadline
	// that a route may have, 10 min.
	egressWriteTimeout = 11 * time.Minute
)

// HeaderIdempotent lets a backend server say "yes" of a nested call that may
// run more than once although its method does not say so.
const HeaderIdempotent = "Dragonflyport-Idempotent"

// Announcement is what a backend server says of itself, about once a second.
type Announcement struct {
	Service string `json:"service"`
	// Address is host:port where the backend server takes requests.
	Address string `json:"address"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `json:"connections"`
	// Instance names this start of the backend server; empty where it does not say.
	Instance string `json:"instance,omitempty"`
}

// newEgressServer serves the backend server on this VM: its announcements and
// its nested calls, which have the paths /service/NAME/REST.
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
	n.Announce(announced)
	w.WriteHeader(http.StatusNoContent)
}

func (n *Node) serveDrain(w http.ResponseWriter, _ *http.Request) {
	n.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// serveNested runs a call that the backend server makes on behalf of a request
// that it is running. Nothing that decides about the call comes from its headers.
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
	// A backend server that gives its nested call up closes the connection.
	defer context.AfterFunc(r.Context(), cancel)()
	req := n.newNestedRequest(running, r, body)
	out := n.dispatchNested(ctx, running, req, r.Header.Get(dfpcaller.HeaderIdempotencyKey))
	dfpcaller.WriteOutcome(w, out)
}

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
		Idempotent:   idempotent,
		Method:       r.Method,
		Path:         path,
		Header:       header,
		Body:         body,
	}
}
