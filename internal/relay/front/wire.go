package front

import (
	"encoding/json"
	"net/http"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Headers of the caller-facing API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerSessionID      = "Session-Id"
	headerRunState       = "X-Run-State"
	headerModel          = "X-Model"
	headerTaskClass      = "X-Task-Class"
	headerTimeout        = "X-Timeout-Ms"
	headerReplayed       = "X-Repeated"
)

// chatBody holds the fields of a chat completion request that the router reads. All
// other fields are forwarded unchanged.
type chatBody struct {
	Model     *string       `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens *int          `json:"max_tokens"`
	User      string        `json:"user"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// errorBody is an error in the format of the chat completions API, extended by the
// router's own fields Reason and RunState.
type errorBody struct {
	Error errorItem `json:"error"`
}

type errorItem struct {
	Message  string `json:"message"`
	Type     string `json:"type"`
	Code     string `json:"code"`
	Param    string `json:"param,omitempty"`
	Reason   string
	RunState string
}

func newErrorBody(r *call.Refusal) errorBody {
	return errorBody{errorItem{
		Message: r.Error(), Type: errorType(httpStatus(r.Reason)), Code: string(r.Reason), Param: r.Field,
		Reason: string(r.Reason), RunState: r.State.String(),
	}}
}

// errorType returns the error type of the chat completions API for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// httpStatus returns the HTTP status for a refusal reason.
func httpStatus(reason call.Reason) int {
	switch reason {
	case call.ReasonBadRequest, call.ReasonSessionInvalid:
		return http.StatusBadRequest
	case call.ReasonUnauthorised:
		return http.StatusUnauthorized
	case call.ReasonNotAllowed:
		return http.StatusForbidden
	case call.ReasonUnknownModel, call.ReasonUnknownService, call.ReasonUnknownPath:
		return http.StatusNotFound
	case call.ReasonDuplicate, call.ReasonSessionVersionWithdrawn, call.ReasonVersionWithdrawn:
		return http.StatusConflict
	case call.ReasonBodyMismatch:
		return http.StatusUnprocessableEntity
	case call.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case call.ReasonOverloaded, call.ReasonCustomerShare:
		return http.StatusTooManyRequests
	case call.ReasonBackendTimeout, call.ReasonDeadline:
		return http.StatusGatewayTimeout
	case call.ReasonBackendFailed, call.ReasonIncomplete:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
