package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"strings"
)

const (
	digestScheme = "sha256"
	saltBytes    = 8
	secretBytes  = 20
	// secretMark separates a key's name from the random part of its secret.
	secretMark = "."
)

// Digest is the stored form of a secret: "sha256:", the salt, ":" and the
// SHA-256 of salt and secret, both in hexadecimal. Secrets are long and random,
// so that neither a secret salt nor a slow hash is needed.
type Digest string

// NewSecret makes a random secret for the key of that name, and its digest. The
// secret itself is not stored anywhere.
func NewSecret(name string) (secret string, digest Digest) {
	random := make([]byte, secretBytes+saltBytes)
	_, _ = rand.Read(random) // never fails
	text := base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(random[:secretBytes])
	secret = name + secretMark + strings.ToLower(text)
	return secret, digestOf(random[secretBytes:], secret)
}

// SecretName returns the key name at the start of a secret. It doesn't check
// the secret.
func SecretName(secret string) string {
	name, _, _ := strings.Cut(secret, secretMark)
	return name
}

// Matches reports whether d is the digest of secret. It compares in constant
// time.
func (d Digest) Matches(secret string) bool {
	salt, ok := d.salt()
	if !ok {
		salt = make([]byte, saltBytes)
	}
	want := digestOf(salt, secret)
	return subtle.ConstantTimeCompare([]byte(want), []byte(d)) == 1 && ok
}

// salt returns the salt of d; ok is false if d is malformed.
func (d Digest) salt() (salt []byte, ok bool) {
	parts := strings.Split(string(d), ":")
	if len(parts) != 3 || parts[0] != digestScheme {
		return nil, false
	}
	salt, saltErr := hex.DecodeString(parts[1])
	sum, sumErr := hex.DecodeString(parts[2])
	ok = saltErr == nil && sumErr == nil && len(salt) == saltBytes && len(sum) == sha256.Size
	return salt, ok && strings.ToLower(string(d)) == string(d)
}

// Valid reports whether d is well-formed.
func (d Digest) Valid() bool {
	_, ok := d.salt()
	return ok
}

func (d Digest) check() error {
	if !d.Valid() {
		return &DigestError{}
	}
	return nil
}

func digestOf(salt []byte, secret string) Digest {
	sum := sha256.Sum256(append(append([]byte{}, salt...), secret...))
	return Digest(digestScheme + ":" + hex.EncodeToString(salt) + ":" + hex.EncodeToString(sum[:]))
}

// DigestError reports a malformed digest. It doesn't contain the text, which
// might be a secret written there by mistake.
type DigestError struct{}

// Error implements error.
func (*DigestError) Error() string {
	return `not a digest; run "balsam key NAME" and write the digest that it prints, never the secret`
}
