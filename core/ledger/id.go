package ledger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"strconv"
	"strings"

	"lagoondrum/core/lists"
)

// Layout of the decoded prefix of a work ID: key ID, session, MAC.
const (
	sessionBytes = 4 + 2 + 8 + 4 // IPv4 address, port, incarnation, session number.
	macBytes     = 10
	prefixBytes  = 1 + sessionBytes + macBytes
)

// Owner is the agent incarnation that alone may start a piece of work.
type Owner struct {
	agent       netip.AddrPort
	incarnation uint64
}

// Session identifies one caller's connection at the owner of its work. Work is
// numbered within a session.
type Session struct {
	owner  Owner
	number uint32
}

// ID identifies one piece of work. No other work ever gets the same one.
type ID struct {
	session Session
	counter uint32
}

// BadIDError reports a work ID that no agent of the system issued to the customer.
type BadIDError struct{ id string }

// NewOwner returns the owner for an incarnation of the agent at an address.
func NewOwner(agent netip.AddrPort, incarnation uint64) Owner { return Owner{agent, incarnation} }

// Agent returns the address of the owning agent.
func (own Owner) Agent() netip.AddrPort { return own.agent }

// Owner returns the owner of the session's work.
func (ses Session) Owner() Owner { return ses.owner }

// Number returns the session's number at its owner.
func (ses Session) Number() uint32 { return ses.number }

// NewID returns the ID of a session's piece of work.
func NewID(ses Session, counter uint32) ID { return ID{ses, counter} }

// Owner returns the owner of the work.
func (id ID) Owner() Owner { return id.session.owner }

// Prefix returns the part of the work IDs before the counter: the encoded session
// with a MAC that binds it to the customer.
func (ses Session) Prefix(ky lists.Key, customer string) string {
	raw := make([]byte, 0, prefixBytes)
	raw = append(raw, ky.ID())
	raw = append(raw, ses.encode()...)
	raw = append(raw, computeMAC(ky, raw, customer)...)
	return base64.RawURLEncoding.EncodeToString(raw)
}

func (ses Session) encode() []byte {
	ip := ses.owner.agent.Addr().As4()
	raw := append([]byte(nil), ip[:]...)
	raw = binary.BigEndian.AppendUint16(raw, ses.owner.agent.Port())
	raw = binary.BigEndian.AppendUint64(raw, ses.owner.incarnation)
	return binary.BigEndian.AppendUint32(raw, ses.number)
}

// computeMAC returns the truncated HMAC-SHA256 of the customer and of raw, which
// holds the key ID and the encoded session.
func computeMAC(ky lists.Key, raw []byte, customer string) []byte {
	secret := ky.Secret()
	mac := hmac.New(sha256.New, secret[:])
	mac.Write([]byte("work " + customer + "\n"))
	mac.Write(raw)
	return mac.Sum(nil)[:macBytes]
}

// FormatID returns a work ID as it is sent in headers.
func FormatID(prefix string, counter uint32) string {
	return prefix + "." + strconv.FormatUint(uint64(counter), 10)
}

// ParseID parses a work ID and verifies that it was issued to the customer. keyOf
// returns the key with an ID. The error is a *BadIDError.
func ParseID(text, customer string, keyOf func(uint8) (lists.Key, bool)) (ID, error) {
	prefix, digits, _ := strings.Cut(text, ".")
	raw, err := base64.RawURLEncoding.DecodeString(prefix)
	if err != nil || len(raw) != prefixBytes {
		return ID{}, &BadIDError{text}
	}
	counter, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || counter == 0 {
		return ID{}, &BadIDError{text}
	}
	ky, ok := keyOf(raw[0])
	body := raw[:1+sessionBytes]
	if !ok || !hmac.Equal(computeMAC(ky, body, customer), raw[1+sessionBytes:]) {
		return ID{}, &BadIDError{text}
	}
	return ID{decodeSession(body[1:]), uint32(counter)}, nil
}

func decodeSession(raw []byte) Session {
	addr := netip.AddrFrom4([4]byte(raw[:4]))
	agent := netip.AddrPortFrom(addr, binary.BigEndian.Uint16(raw[4:]))
	return Session{Owner{agent, binary.BigEndian.Uint64(raw[6:])}, binary.BigEndian.Uint32(raw[14:])}
}

func (err *BadIDError) Error() string { return "not a work ID of this customer: " + err.id }
