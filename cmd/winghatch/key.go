package main

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"winghatch/internal/config"
	"winghatch/internal/credentials"
)

// keyCmd is the sub-command key.
type keyCmd struct {
	New    keyNewCmd    `cmd:"" help:"Generate a member's key and its digest for the settings."`
	Digest keyDigestCmd `cmd:"" help:"Read a key from standard input and print its digest."`
	Secret keySecretCmd `cmd:"" help:"Generate a secret for a fleet."`
}

// keyNewCmd is the sub-command key new.
type keyNewCmd struct {
	Config string `required:"" help:"Settings file of the fleet; its secret is used for the digest."`
}

// keyDigestCmd is the sub-command key digest.
type keyDigestCmd struct {
	Config string `required:"" help:"Settings file of the fleet."`
}

// keySecretCmd is the sub-command key secret.
type keySecretCmd struct{}

// printKey prints a key and its digest, which depends on the secret in the settings file.
func printKey(file, key string) error {
	f, err := config.Load(file)
	if err != nil {
		return err
	}
	fmt.Printf("key     %s\ndigest  %s\n", key, f.Secret.MemberKeyHasher().Sum([]byte(key)))
	return nil
}

// Run prints a new key and its digest.
func (c *keyNewCmd) Run() error { return printKey(c.Config, credentials.NewMemberKey()) }

// Run reads a key of at most 4096 bytes from standard input and prints it with its digest.
func (c *keyDigestCmd) Run() error {
	raw, err := io.ReadAll(io.LimitReader(os.Stdin, 4096))
	if err != nil {
		return err
	}
	return printKey(c.Config, strings.TrimSpace(string(raw)))
}

// Run prints a new secret in hexadecimal.
func (c *keySecretCmd) Run() error {
	s := credentials.NewSecret()
	fmt.Println(hex.EncodeToString(s[:]))
	return nil
}
