package dfppeer

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/coder/websocket"
)

// The handshake headers. Request and response carry them, except for the proof, which only the
// response carries; the dialer sends its proof in a kindAuth frame.
const (
	headerNode        = "X-Dragonflyport-Node"
	headerIncarnation = "X-Dragonflyport-Incarnation"
	headerNonce       = "X-Dragonflyport-Nonce"
	headerProof       = "X-Dragonflyport-Proof"
)

const nonceSize = 16 // bytes

var errInvalidHandshake = errors.New("invalid handshake headers")

// hello identifies one side in the handshake.
type hello struct {
	node        string
	incarnation uint64
	nonce       string
}

func (m *Mesh) hello() hello {
	var nonce [nonceSize]byte
	_, _ = rand.Read(nonce[:]) // rand.Read never fails.
	return hello{node: m.cfg.Self, incarnation: m.cfg.Incarnation, nonce: hex.EncodeToString(nonce[:])}
}

func (h hello) write(header http.Header) {
	header.Set(headerNode, h.node)
	header.Set(headerIncarnation, strconv.FormatUint(h.incarnation, 16))
	header.Set(headerNonce, h.nonce)
}

func readHello(header http.Header) (hello, error) {
	h := hello{node: header.Get(headerNode), nonce: header.Get(headerNonce)}
	var err error
	h.incarnation, err = strconv.ParseUint(header.Get(headerIncarnation), 16, 64)
	if err != nil || h.node == "" || len(h.nonce) != 2*nonceSize {
		return hello{}, errInvalidHandshake
	}
	return h, nil
}

// handshakeProof returns the proof that one side ("dialer" or "acceptor") knows the secret. It covers
// both sides' addresses, incarnations and nonces, so that it is valid for this handshake only.
func handshakeProof(secret []byte, side string, dialer, acceptor hello) []byte {
	mac := hmac.New(sha256.New, secret)
	for _, s := range []string{
		side,
		dialer.node, strconv.FormatUint(dialer.incarnation, 16), dialer.nonce,
		acceptor.node, strconv.FormatUint(acceptor.incarnation, 16), acceptor.nonce,
	} {
		fmt.Fprintf(mac, "%d:%s", len(s), s)
	}
	return mac.Sum(nil)
}

// Handler returns the handler that accepts connections from other nodes, to be registered at Path.
func (m *Mesh) Handler() http.Handler {
	return http.HandlerFunc(m.accept)
}

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	theirs, err := readHello(r.Header)
	if err != nil {
		m.stats.badHandshakes.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !m.hasSecret() {
		http.Error(w, "not accepting links yet: shared secret not set", http.StatusServiceUnavailable)
		return
	}
	if m.closed.Load() || m.handshakes.Add(1) > maxHandshakes {
		m.handshakes.Add(-1)
		http.Error(w, "not accepting links now: closing, or too many handshakes", http.StatusServiceUnavailable)
		return
	}
	defer m.handshakes.Add(-1)
	ours := m.hello()
	ours.write(w.Header())
	w.Header().Set(headerProof, hex.EncodeToString(handshakeProof(*m.secret.Load(), "acceptor", theirs, ours)))
	ws, err := websocket.Accept(limitingHijacker{w}, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		m.stats.badHandshakes.Add(1)
		return
	}
	ws.SetReadLimit(maxMessageBytes)
	if err := m.verifyDialer(ws, handshakeProof(*m.secret.Load(), "dialer", theirs, ours)); err != nil {
		m.stats.badHandshakes.Add(1)
		m.reportMismatch(err)
		m.cfg.Log.WithField("node", theirs.node).WithError(err).Warn("link refused")
		_ = ws.CloseNow()
		return
	}
	m.addConn(m.peer(theirs.node), ws, theirs.incarnation, false)
}

// reportMismatch calls Config.SecretMismatch if a handshake failed for that.
func (m *Mesh) reportMismatch(err error) {
	if m.cfg.SecretMismatch != nil && errors.Is(err, ErrSecretMismatch) {
		m.cfg.SecretMismatch()
	}
}

// verifyDialer reads the dialer's first frame and verifies its proof.
func (m *Mesh) verifyDialer(ws *websocket.Conn, want []byte) error {
	ctx, cancel := context.WithTimeout(m.ctx, m.cfg.DialTimeout)
	defer cancel()
	_, data, err := ws.Read(ctx)
	if err != nil {
		return err
	}
	f, rest, err := decode(data)
	if err != nil {
		return err
	}
	if f.Kind != kindAuth || len(rest) > 0 || !hmac.Equal(f.Proof, want) {
		return ErrSecretMismatch
	}
	return nil
}

// connect dials another node and authenticates both sides. It returns the connection and the
// incarnation of the other process.
func (m *Mesh) connect(ctx context.Context, to string) (*websocket.Conn, uint64, error) {
	if !m.hasSecret() {
		return nil, 0, fmt.Errorf("%w: shared secret not set", ErrUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	ours := m.hello()
	header := make(http.Header)
	ours.write(header)
	ws, resp, err := websocket.Dial(ctx, "ws://"+to+Path, &websocket.DialOptions{
		HTTPClient:      m.client,
		HTTPHeader:      header,
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, 0, err
	}
	ws.SetReadLimit(maxMessageBytes)
	theirs, err := m.verifyAcceptor(to, ours, resp.Header)
	m.reportMismatch(err)
	if err == nil {
		err = sendAuth(ctx, ws, handshakeProof(*m.secret.Load(), "dialer", ours, theirs))
	}
	if err != nil {
		_ = ws.CloseNow()
		return nil, 0, err
	}
	return ws, theirs.incarnation, nil
}

func (m *Mesh) verifyAcceptor(to string, ours hello, header http.Header) (hello, error) {
	theirs, err := readHello(header)
	if err != nil {
		return hello{}, err
	}
	proof, err := hex.DecodeString(header.Get(headerProof))
	if err != nil || !hmac.Equal(proof, handshakeProof(*m.secret.Load(), "acceptor", ours, theirs)) {
		return hello{}, ErrSecretMismatch
	}
	if theirs.node != to {
		return hello{}, fmt.Errorf("%w: want %s, got %s", ErrWrongNode, to, theirs.node)
	}
	return theirs, nil
}

func sendAuth(ctx context.Context, ws *websocket.Conn, proof []byte) error {
	buf, err := encode(&frame{Kind: kindAuth, Proof: proof})
	if err != nil {
		return err
	}
	defer release(buf)
	return ws.Write(ctx, websocket.MessageBinary, buf.Bytes())
}

// limitingHijacker limits the socket's write buffer when the connection is hijacked.
type limitingHijacker struct{ http.ResponseWriter }

// Hijack implements http.Hijacker.
func (w limitingHijacker) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, rw, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err == nil {
		limitWriteBuffer(c)
	}
	return c, rw, err
}

func limitWriteBuffer(c net.Conn) {
	if s, ok := c.(interface{ SetWriteBuffer(bytes int) error }); ok {
		_ = s.SetWriteBuffer(socketWriteBuffer)
	}
}
