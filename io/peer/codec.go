package peer

import (
	"bufio"
	"bytes"
	"compress/flate"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"lagoondrum/core/dissem"
	"lagoondrum/core/inidoc"
	"lagoondrum/core/lists"
	"lagoondrum/io/peer/internal/wire"
)

// maxMessageBytes is the limit of one encoded message. A whole compressed list fits.
const maxMessageBytes = inidoc.MaxBytes + 64<<10

// sectionTerminator ends each section in the compressed text of an update.
const sectionTerminator = "\x00"

// conn reads and writes protobuf steps on one yamux stream. Each read and write
// takes a deadline.
type conn struct {
	stream net.Conn
	reader *bufio.Reader
}

func newConn(stream net.Conn) *conn {
	return &conn{stream: stream, reader: bufio.NewReader(stream)}
}

func (con *conn) send(stp *wire.Step, deadline time.Time) error {
	if err := con.stream.SetWriteDeadline(deadline); err != nil {
		return errors.WithStack(err)
	}
	_, err := protodelim.MarshalTo(con.stream, stp)
	return errors.WithStack(err)
}

func (con *conn) receive(deadline time.Time) (*wire.Step, error) {
	if err := con.stream.SetReadDeadline(deadline); err != nil {
		return nil, errors.WithStack(err)
	}
	stp := &wire.Step{}
	err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(con.reader, stp)
	return stp, errors.WithStack(err)
}

func (con *conn) close() { _ = con.stream.Close() }

func encodeVersion(name lists.Name, ver dissem.Version) *wire.Version {
	return &wire.Version{Name: string(name), Revision: ver.Revision(), Hash: ver.Hash()}
}

func decodeVersion(ver *wire.Version) dissem.Version {
	return dissem.NewVersion(ver.GetRevision(), ver.GetHash())
}

func encodeUpdate(upd dissem.Update) (*wire.Update, error) {
	var buf bytes.Buffer
	out, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for _, body := range upd.Changed() {
		if _, err := io.WriteString(out, body+sectionTerminator); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	if err := out.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	return &wire.Update{
		Version: encodeVersion(upd.Name(), upd.Version()),
		Base:    encodeVersion(upd.Name(), upd.Base()),
		Changed: buf.Bytes(),
		Removed: upd.Removed(),
	}, nil
}

func decodeUpdate(upd *wire.Update) (dissem.Update, error) {
	inflated := flate.NewReader(bytes.NewReader(upd.GetChanged()))
	raw, err := io.ReadAll(io.LimitReader(inflated, 2*inidoc.MaxBytes))
	if err != nil {
		return dissem.Update{}, errors.WithStack(err)
	}
	changed := strings.Split(string(raw), sectionTerminator)
	return dissem.NewUpdate(
		lists.Name(upd.GetVersion().GetName()),
		decodeVersion(upd.GetBase()),
		decodeVersion(upd.GetVersion()),
		changed[:len(changed)-1],
		upd.GetRemoved(),
	), nil
}

// UpdateBytes returns the size of an update as encoded for a peer.
func UpdateBytes(upd dissem.Update) (int, error) {
	encoded, err := encodeUpdate(upd)
	if err != nil {
		return 0, err
	}
	return proto.Size(encoded), nil
}
