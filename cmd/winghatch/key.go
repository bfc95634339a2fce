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

type keyCmd struct {
	New    keyNewCmd    `cmd:"" help:"Make a member's key, and the digest of it for the settings."`
	Digest keyDigestCmd `cmd:"" help:"Read a key from standard input and print its digest."`
	Secret keySecretCmd `cmd:"" help:"Make a fleet's secret."`
}

type keyNewCmd struct {
	Config string `required:"" help:"The fleet's settings; the digest is made with their secret."`
}

type keyDigestCmd struct {
	Config string `required:"" help:"The fleet's settings."`
}

type keySecretCmd struct{}

func printKey(file, key string) error {
	f, err := config.Load(file)
	if err != nil {
		return err
	}
	fmt.Printf("key     %s\ndigest  %s\n", key, f.Secret.MemberKeyHasher().Sum([]byte(key)))
	return nil
}

func (c *keyNewCmd) Run() error { return printKey(c.Config, credentials.NewMemberKey()) }

func (c *keyDigestCmd) Run() error {
	raw, err := io.ReadAll(io.LimitReader(os.Stdin, 4096))
	if err != nil {
		return err
	}
	return printKey(c.Config, strings.TrimSpace(string(raw)))
}

func (c *keySecretCmd) Run() error {
	s := credentials.NewSecret()
	fmt.Println(hex.EncodeToString(s[:]))
	return nil
}
