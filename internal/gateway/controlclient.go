package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"winghatch/internal/credentials"
	"winghatch/internal/quotaplan"
)

// controlTimeout leaves a gateway the time that it waits for a change to be durable.
const controlTimeout = submitTimeout + 5*time.Second

// SubmitChange submits a plan change to the control API at addr, host and port, and returns it as it was accepted. The
// error of a rejected change has the gateway's own text.
func SubmitChange(addr string, secret credentials.Secret, c quotaplan.Change) (quotaplan.Change, error) {
	body, err := json.Marshal(newChangeJSON(&c))
	if err != nil {
		return c, fmt.Errorf("change %d: encode: %w", c.Number, err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/changes", bytes.NewReader(body))
	if err != nil {
		return c, err
	}
	req.Header.Set(macHeader, requestMAC(secret, body))
	var accepted changeJSON
	if err := do(req, &accepted); err != nil {
		return c, err
	}
	return accepted.change()
}

// FetchHistory reads from the control API at addr the plan changes that concern a member, or with an empty name all.
func FetchHistory(addr, member string) (History, error) {
	query := url.Values{"member": {member}}.Encode()
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/changes?"+query, nil)
	if err != nil {
		return History{}, err
	}
	var h History
	err = do(req, &h)
	return h, err
}

// do sends a request and decodes the response into out. The error of a response that is not 200 has its text alone.
func do(req *http.Request, out any) error {
	client := http.Client{Timeout: controlTimeout}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("read the response of %s: %w", req.URL, err)
	}
	if res.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("decode the response of %s: %w", req.URL, err)
	}
	return nil
}
