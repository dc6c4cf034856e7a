package lists

import (
	"encoding/hex"
	"sort"
	"strconv"

	"lagoondrum/core/inidoc"
)

// SecretBytes is the length of the secret of a token key.
const SecretBytes = 32

const maxKeyID = 255 // A token holds the ID in one byte.

// Keys is the list of the keys that seal connection tokens.
type Keys struct{ all []Key }

// Key is one key, identified by a number.
type Key struct {
	id     uint8
	secret [SecretBytes]byte
}

// ParseKeys parses the list of token keys.
func ParseKeys(raw []byte) (*Keys, error) {
	kys := &Keys{}
	_, err := parseSections(KeysName, raw, func(sec *inidoc.Section, rdr *inidoc.Reader, fs *inidoc.Faults) {
		if sec.Kind() != "key" {
			addUnknownSection(sec, fs)
			return
		}
		id, err := strconv.Atoi(sec.Name())
		if err != nil || id < 0 || id > maxKeyID {
			fs.Add(sec.Line(), "[key] needs a whole number from 0 to 255 as its name")
		}
		secret, err := hex.DecodeString(rdr.String("secret"))
		if err != nil || len(secret) != SecretBytes {
			_, line, _ := sec.Get("secret")
			fs.Add(line, "secret is not 64 hexadecimal digits")
			return
		}
		kys.all = append(kys.all, Key{uint8(id), [SecretBytes]byte(secret)})
	})
	if err != nil {
		return nil, err
	}
	sort.Slice(kys.all, func(i, j int) bool { return kys.all[i].id < kys.all[j].id })
	return kys, nil
}

func (kys *Keys) list() {}

// Find returns the key with an ID.
func (kys *Keys) Find(id uint8) (Key, bool) {
	for _, ky := range kys.all {
		if ky.id == id {
			return ky, true
		}
	}
	return Key{}, false
}

// All returns the keys in order of ID; the key with the highest ID is the newest.
func (kys *Keys) All() []Key { return kys.all }

// ID returns the number of the key, which tokens hold unencrypted.
func (ky Key) ID() uint8 { return ky.id }

// Secret returns the key's secret.
func (ky Key) Secret() [SecretBytes]byte { return ky.secret }
