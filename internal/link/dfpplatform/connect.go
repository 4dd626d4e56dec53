package dfpplatform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"dragonflyport/internal/link/dfpanswer"
	pb "dragonflyport/internal/proto/dfpplatformpb"
)

const (
	idleConnTimeout = 10 * time.Second
	maxAnswerBytes  = 16 << 20
)

// connectTransport implements proto/platform.proto.
type connectTransport struct {
	http *dfpanswer.Transport
	rpc  pb.KeyValueServiceClient
}

func newConnectTransport(cfg Config) *connectTransport {
	transport := dfpanswer.New(dfpanswer.Config{Dial: markDialErrors(cfg.Dial), IdleTimeout: idleConnTimeout})
	rpc := pb.NewKeyValueServiceClient(&http.Client{Transport: transport}, cfg.URL, connect.WithReadMaxBytes(maxAnswerBytes))
	return &connectTransport{http: transport, rpc: rpc}
}

// errDial marks an error that occurred before anything was sent.
var errDial = errors.New("dial")

func markDialErrors(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errDial, err)
		}
		return conn, nil
	}
}

func (t *connectTransport) Close() { t.http.CloseIdleConnections() }

func (t *connectTransport) Get(ctx context.Context, key string) (Entry, error) {
	answer, err := t.rpc.Get(ctx, connect.NewRequest(&pb.GetRequest{Key: key}))
	if err != nil {
		return Entry{}, readError("get", err)
	}
	return entryOf(answer.Msg.GetEntry()), nil
}

func (t *connectTransport) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	answer, err := t.rpc.List(ctx, connect.NewRequest(&pb.ListRequest{Prefix: prefix}))
	if err != nil {
		return nil, 0, readError("list", err)
	}
	entries := make([]Entry, 0, len(answer.Msg.GetEntries()))
	for _, e := range answer.Msg.GetEntries() {
		entries = append(entries, entryOf(e))
	}
	return entries, answer.Msg.GetRevision(), nil
}

func (t *connectTransport) CompareAndSwap(ctx context.Context, write Write) (Entry, error) {
	answer, err := t.rpc.CompareAndSwap(ctx, connect.NewRequest(&pb.CompareAndSwapRequest{
		Key:              write.Key,
		ExpectedRevision: write.Expected,
		Value:            write.Value,
		Delete:           write.Delete,
		Lease:            write.Lease,
	}))
	if err != nil {
		return Entry{}, writeError("compare and swap", err)
	}
	entry := entryOf(answer.Msg.GetEntry())
	if !answer.Msg.GetSwapped() {
		return entry, fmt.Errorf("compare and swap of %s: %w", write.Key, ErrConflict)
	}
	return entry, nil
}

func (t *connectTransport) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	answer, err := t.rpc.GrantLease(ctx, connect.NewRequest(&pb.GrantLeaseRequest{TtlMilliseconds: ttl.Milliseconds()}))
	if err != nil {
		return 0, writeError("grant lease", err)
	}
	return answer.Msg.GetLease(), nil
}

func (t *connectTransport) KeepLease(ctx context.Context, lease uint64) (bool, error) {
	answer, err := t.rpc.KeepLease(ctx, connect.NewRequest(&pb.KeepLeaseRequest{Lease: lease}))
	if err != nil {
		return false, writeError("keep lease", err)
	}
	return answer.Msg.GetHeld(), nil
}

// StreamChanges reads a single stream until it fails.
func (t *connectTransport) StreamChanges(ctx context.Context, prefix string, _, after uint64, report func(Event)) error {
	stream, err := t.rpc.Watch(ctx, connect.NewRequest(&pb.WatchRequest{Prefix: prefix, AfterRevision: after}))
	if err != nil {
		return watchError(err)
	}
	defer func() { _ = stream.Close() }() // stream.Err is the error to return.
	for stream.Receive() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		report(eventOf(stream.Msg()))
	}
	return watchError(stream.Err())
}

func watchError(err error) error {
	if connect.CodeOf(err) == connect.CodeOutOfRange {
		return fmt.Errorf("watch: %w: %w", ErrHistoryLost, err)
	}
	return err
}

func eventOf(m *pb.WatchEvent) Event {
	switch {
	case m.GetChanged() != nil:
		return Changed{Entry: entryOf(m.GetChanged()), Revision: m.GetRevision()}
	case m.GetDeletedKey() != "":
		return Deleted{Key: m.GetDeletedKey(), Revision: m.GetRevision()}
	default:
		return Heartbeat{Revision: m.GetRevision()}
	}
}

// readError wraps the error of a call that only reads, and so had no effect.
func readError(call string, err error) error {
	return fmt.Errorf("%s: %w: %w", call, ErrUnavailable, err)
}

// writeError classifies the error of a write. Only an error code from the service, or a connection that
// could not be opened, proves that the write had no effect.
func writeError(call string, err error) error {
	if errors.Is(err, errDial) {
		return fmt.Errorf("%s: %w: %w", call, ErrUnavailable, err)
	}
	if !connect.IsWireError(err) {
		return fmt.Errorf("%s: %w: %w", call, ErrOutcomeUnknown, err)
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return fmt.Errorf("%s: %w: %w", call, ErrUnavailable, err)
	case connect.CodeInvalidArgument, connect.CodeFailedPrecondition:
		return fmt.Errorf("%s: %w: %w", call, ErrInvalid, err)
	default:
		return fmt.Errorf("%s: %w: %w", call, ErrOutcomeUnknown, err)
	}
}

func entryOf(e *pb.Entry) Entry {
	return Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Lease: e.GetLease()}
}
