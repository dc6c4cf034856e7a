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

// ActivationDelay is the time between learning a key and sealing with it, so
// that every balancer can open the tokens of a key before any agent seals with
// it.
const ActivationDelay = 20 * time.Second

// Keyring holds every key that was ever published to this process, by ID, and the
// keys that are published now, in order of ID. It is immutable: With returns a new
// keyring.
type Keyring struct {
	keys      [256]*keyringKey
	published []*keyringKey
}

// keyringKey is a key with its cipher. It seals tokens from sealFrom on.
type keyringKey struct {
	id       uint8
	secret   [lists.SecretBytes]byte
	block    cipher.Block
	sealFrom time.Time
}

// NoKeyError reports that no token key is published, so that nothing can be
// sealed.
type NoKeyError struct{}

func (NoKeyError) Error() string { return "no token key was published" }

// NewKeyring returns a keyring without keys.
func NewKeyring() *Keyring { return &Keyring{} }

// With returns a keyring that also holds the keys of kys, the keys published now. A
// key that is no longer published still opens tokens, but seals none.
func (krg *Keyring) With(kys *lists.Keys, now time.Time) *Keyring {
	next := &Keyring{keys: krg.keys}
	for _, ky := range kys.All() {
		krk := krg.keys[ky.ID()]
		if krk == nil || krk.secret != ky.Secret() {
			krk = newKeyringKey(ky, now.Add(ActivationDelay))
		}
		next.keys[ky.ID()] = krk
		next.published = append(next.published, krk)
	}
	return next
}

func newKeyringKey(ky lists.Key, sealFrom time.Time) *keyringKey {
	secret := ky.Secret()
	block, _ := aes.NewCipher(secret[:]) // The length of the secret is always valid for AES.
	return &keyringKey{id: ky.ID(), secret: secret, block: block, sealFrom: sealFrom}
}

// Ready reports whether the keyring can seal.
func (krg *Keyring) Ready() bool { return len(krg.published) > 0 }

// Seal writes the sealed token into out, which holds at least Bytes bytes.
func (krg *Keyring) Seal(tok Token, now time.Time, out []byte) error {
	krk := krg.sealingKey(now)
	if krk == nil {
		return NoKeyError{}
	}
	var plain [blockBytes]byte
	tok.encodeBlock(plain[:])
	out[0] = krk.id
	krk.block.Encrypt(out[1:1+blockBytes], plain[:])
	copy(out[1+blockBytes:Bytes], tok.tail[:])
	return nil
}

// sealingKey returns the newest published key that has been known for
// ActivationDelay, the oldest one when there is none, or nil without keys.
func (krg *Keyring) sealingKey(now time.Time) *keyringKey {
	for i := len(krg.published) - 1; i >= 0; i-- {
		if !now.Before(krg.published[i].sealFrom) {
			return krg.published[i]
		}
	}
	if len(krg.published) == 0 {
		return nil
	}
	return krg.published[0]
}

// Open returns the token in a connection ID and reports whether it is genuine.
func (krg *Keyring) Open(cid []byte) (Token, bool) {
	if len(cid) < Bytes {
		return Token{}, false
	}
	krk := krg.keys[cid[0]]
	if krk == nil {
		return Token{}, false
	}
	plain := blockPool.Get().(*[blockBytes]byte)
	defer blockPool.Put(plain)
	krk.block.Decrypt(plain[:], cid[1:1+blockBytes])
	return decodeBlock(plain[:], cid[1+blockBytes:Bytes])
}

// blockPool holds buffers for decrypted blocks, so that Open allocates nothing.
var blockPool = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// ResetKey derives the key for the stateless resets of one agent. The agent gets
// the same key after a restart.
func (krg *Keyring) ResetKey(agent string) ([32]byte, error) {
	if len(krg.published) == 0 {
		return [32]byte{}, NoKeyError{}
	}
	mac := hmac.New(sha256.New, krg.published[0].secret[:])
	mac.Write([]byte("statelessReset " + agent))
	return [32]byte(mac.Sum(nil)), nil
}
