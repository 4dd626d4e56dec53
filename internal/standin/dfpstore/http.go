package dfpstore

import (
	"encoding/json"
	"net/http"

	"dragonflyport/internal/proto/dfpplatformpb"
)

// Handler serves the key-value service and the pages of the stand-in: /counts,
// /fault, /lapse and /silence.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(dfpplatformpb.NewKeyValueServiceHandler(s))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Counts()) // A failed write means that the client has closed the connection.
	})
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("POST /lapse", func(http.ResponseWriter, *http.Request) { s.ExpireLeases() })
	mux.HandleFunc("POST /silence", func(http.ResponseWriter, *http.Request) { s.SilenceWatches() })
	return mux
}

// serveFault sets the fault of one method, or of all methods if the request names
// none.
func (s *Store) serveFault(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Method Method `json:"method"`
		Fault  Fault  `json:"fault"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if body.Method == "" {
		s.SetFaultAll(body.Fault)
		return
	}
	if err := s.SetFault(body.Method, body.Fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}
