package jkstandin

import (
	"encoding/json"
	"net/http"

	"jasmineknot.example/core/jkendpoint"
)

// serviceReply writes a JSON response. A failed write is ignored: it means that the
// client closed the connection.
func serviceReply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serviceRefuse writes an error response.
func serviceRefuse(w http.ResponseWriter, status int, code, message string) {
	serviceReply(w, status, jkendpoint.ErrorBody{Error: jkendpoint.ErrorDetail{Code: code, Message: message, Type: code}})
}

// serviceDecode decodes a JSON body of up to 16 MiB. For an invalid body it writes the
// error response and returns false.
func serviceDecode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(into); err != nil {
		serviceRefuse(w, http.StatusBadRequest, "invalid_request", err.Error())
		return false
	}
	return true
}
