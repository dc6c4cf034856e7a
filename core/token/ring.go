package token

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/sha256"
	"sync"
	"time"

	"lagoondrum/core/lists"
)

// MintDelay is how long a ring knows a key before it seals with it, so that
// every balancer can open a token before any agent seals one.
const MintDelay = 20 * time.Second

// Ring holds every key that was ever published to this process. It is
// immutable: With returns a new one.
type Ring struct {
	entries [256]*entry
	mint    []*entry
}

type entry struct {
	id     uint8
	secret [lists.SecretBytes]byte
	block  cipher.Block
	mintAt time.Time
}

// NoKeyError reports that no key was published yet.
type NoKeyError struct{}

func (NoKeyError) Error() string { return "no token key was published" }

// NewRing returns a ring without keys.
func NewRing() *Ring { return &Ring{} }

// With returns a ring that also holds the keys of kys. A key that is no longer
// published still opens tokens; it seals none.
func (rng *Ring) With(kys *lists.Keys, now time.Time) *Ring {
	next := &Ring{entries: rng.entries}
	for _, ky := range kys.All() {
		en := rng.entries[ky.ID()]
		if en == nil || en.secret != ky.Secret() {
			en = newEntry(ky, now.Add(MintDelay))
		}
		next.entries[ky.ID()] = en
		next.mint = append(next.mint, en)
	}
	return next
}

func newEntry(ky lists.Key, mintAt time.Time) *entry {
	secret := ky.Secret()
	block, _ := aes.NewCipher(secret[:]) // The length of the secret is always valid.
	return &entry{id: ky.ID(), secret: secret, block: block, mintAt: mintAt}
}

// Ready reports whether the ring can seal.
func (rng *Ring) Ready() bool { return len(rng.mint) > 0 }

// Seal writes tok into out, which holds at least Bytes bytes.
func (rng *Ring) Seal(tok Token, now time.Time, out []byte) error {
	en := rng.minting(now)
	if en == nil {
		return NoKeyError{}
	}
	var plain [blockBytes]byte
	tok.block(plain[:])
	out[0] = en.id
	en.block.Encrypt(out[1:1+blockBytes], plain[:])
	copy(out[1+blockBytes:Bytes], tok.tail[:])
	return nil
}

// minting returns the newest key that is known long enough, or else the oldest.
func (rng *Ring) minting(now time.Time) *entry {
	for i := len(rng.mint) - 1; i >= 0; i-- {
		if !now.Before(rng.mint[i].mintAt) {
			return rng.mint[i]
		}
	}
	if len(rng.mint) == 0 {
		return nil
	}
	return rng.mint[0]
}

// Open returns the token in a connection ID, and whether it is genuine.
func (rng *Ring) Open(cid []byte) (Token, bool) {
	if len(cid) < Bytes {
		return Token{}, false
	}
	en := rng.entries[cid[0]]
	if en == nil {
		return Token{}, false
	}
	plain := blocks.Get().(*[blockBytes]byte)
	defer blocks.Put(plain)
	en.block.Decrypt(plain[:], cid[1:1+blockBytes])
	return fromBlock(plain[:], cid[1+blockBytes:Bytes])
}

// blocks lends the room for one opened block, so that opening allocates nothing.
var blocks = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// ResetKey derives the key of the stateless resets of one agent, the same
// before and after its restart.
func (rng *Ring) ResetKey(agent string) ([32]byte, error) {
	if len(rng.mint) == 0 {
		return [32]byte{}, NoKeyError{}
	}
	mac := hmac.New(sha256.New, rng.mint[0].secret[:])
	mac.Write([]byte("statelessReset " + agent))
	return [32]byte(mac.Sum(nil)), nil
}
