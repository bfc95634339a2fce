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

// controlTimeout bounds a request to the control API. It exceeds submitTimeout, the time that the gateway may
// wait for a change to become durable.
const controlTimeout = submitTimeout + 5*time.Second

// SubmitChange submits a plan change to the control API at addr (host and port) and returns the change as it
// was accepted. If the gateway rejects the change, the error consists of the gateway's own text.
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
	if err := doJSON(req, &accepted); err != nil {
		return c, err
	}
	return accepted.change()
}

// FetchHistory reads the plan changes that concern a member from the control API at addr (host and port). An
// empty member selects all changes.
func FetchHistory(addr, member string) (History, error) {
	query := url.Values{"member": {member}}.Encode()
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/changes?"+query, nil)
	if err != nil {
		return History{}, err
	}
	var h History
	err = doJSON(req, &h)
	return h, err
}

// doJSON sends a request and decodes the JSON response into out. If the status is not 200, the error consists
// of the response body.
func doJSON(req *http.Request, out any) error {
	client := http.Client{Timeout: controlTimeout}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Errorf("control API: read response of %s: %w", req.URL, err)
	}
	if res.StatusCode != http.StatusOK {
		return errors.New(strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return fmt.Errorf("control API: decode response of %s: %w", req.URL, err)
	}
	return nil
}
