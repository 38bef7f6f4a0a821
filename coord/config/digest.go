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
	// secretMark stands between a key's name and its random part.
	secretMark = "."
)

// Digest is what is kept of a secret: "sha256:", the salt and the SHA-256 of
// salt and secret, both in hexadecimal. Secrets are random and long, so the
// salt needs to be neither secret nor slow.
type Digest string

// NewSecret makes a secret for the key of that name and its digest. The
// secret itself is kept nowhere.
func NewSecret(name string) (secret string, digest Digest) {
	random := make([]byte, secretBytes+saltBytes)
	_, _ = rand.Read(random) // never fails
	text := base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(random[:secretBytes])
	secret = name + secretMark + strings.ToLower(text)
	return secret, digestOf(random[secretBytes:], secret)
}

// SecretName returns the name of the key that a secret says it is for.
func SecretName(secret string) string {
	name, _, _ := strings.Cut(secret, secretMark)
	return name
}

// Matches reports whether secret is the digest's. The time that it takes does
// not depend on where they differ.
func (d Digest) Matches(secret string) bool {
	salt, ok := d.salt()
	if !ok {
		salt = make([]byte, saltBytes)
	}
	want := digestOf(salt, secret)
	return subtle.ConstantTimeCompare([]byte(want), []byte(d)) == 1 && ok
}

// salt returns the salt of a well-formed digest.
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

// Valid reports whether d has the form of a digest.
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

// DigestError reports a key whose digest has the wrong form. It doesn't hold
// the text, which might be a secret written there by mistake.
type DigestError struct{}

// Error implements error.
func (*DigestError) Error() string {
	return `not a digest; run "balsam key NAME" and write the digest that it prints, never the secret`
}
