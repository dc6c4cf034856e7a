package token_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagoondrum/core/lists"
	"lagoondrum/core/token"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// keysOf returns the list of the keys with the given IDs.
func keysOf(t testing.TB, ids ...int) *lists.Keys {
	t.Helper()
	raw := ""
	for _, id := range ids {
		raw += fmt.Sprintf("[key %d]\nsecret = %064x\n", id, id)
	}
	kys, err := lists.ParseKeys([]byte(raw + "[end]\n"))
	assert.NilError(t, err)
	return kys
}

// sealToken returns a token and the connection ID that holds it sealed.
func sealToken(t testing.TB, krg *token.Keyring, at time.Time) (token.Token, []byte) {
	t.Helper()
	tok := token.New(netip.MustParseAddrPort("10.1.2.3:7842"), lists.ServiceIDOf("feed"), 9, [3]byte{1, 2, 3})
	cid := make([]byte, token.Bytes)
	assert.NilError(t, krg.Seal(tok, at, cid))
	return tok, cid
}

func TestAnyBalancerOpensAToken(t *testing.T) {
	tok, cid := sealToken(t, token.NewKeyring().With(keysOf(t, 1), now), now)
	got, ok := token.NewKeyring().With(keysOf(t, 1), now).Open(cid)
	assert.Assert(t, ok)
	assert.Equal(t, got.Agent(), tok.Agent())
	assert.Equal(t, got.Service(), tok.Service())
}

func TestAlteredTokenIsRefused(t *testing.T) {
	krg := token.NewKeyring().With(keysOf(t, 1), now)
	_, cid := sealToken(t, krg, now)
	for index := range cid {
		t.Run(fmt.Sprintf("byte %d", index), func(t *testing.T) {
			altered := append([]byte(nil), cid...)
			altered[index] ^= 0x10
			_, ok := krg.Open(altered)
			assert.Assert(t, !ok)
		})
	}
}

func TestRotationKeepsOpenFlows(t *testing.T) {
	old := token.NewKeyring().With(keysOf(t, 1), now)
	_, cid := sealToken(t, old, now)
	rotated := old.With(keysOf(t, 1, 2), now).With(keysOf(t, 2), now)
	_, ok := rotated.Open(cid)
	assert.Assert(t, ok, "the token of a key that is no longer published was refused")
	later := now.Add(token.ActivationDelay)
	_, laterCID := sealToken(t, old.With(keysOf(t, 1, 2), now), later)
	assert.Equal(t, laterCID[0], byte(2))
}

func TestNewKeySealsOnlyAfterActivationDelay(t *testing.T) {
	first := now.Add(token.ActivationDelay)
	krg := token.NewKeyring().With(keysOf(t, 1), now).With(keysOf(t, 1, 2), first)
	_, cid := sealToken(t, krg, first.Add(token.ActivationDelay-time.Second))
	assert.Equal(t, cid[0], byte(1))
}

func FuzzOpen(f *testing.F) {
	krg := token.NewKeyring().With(keysOf(f, 1), now)
	_, cid := sealToken(f, krg, now)
	f.Add(cid)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		if tok, ok := krg.Open(raw); ok {
			assert.Assert(t, tok.Agent().IsValid())
		}
	})
}
