package jkstandin

import (
	"encoding/json"
	"net/http"

	"jasmineknot.example/core/jkendpoint"
)

// serviceReply writes a JSON answer. A failed write means that the client is gone.
func serviceReply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func serviceRefuse(w http.ResponseWriter, status int, code, message string) {
	serviceReply(w, status, jkendpoint.ErrorBody{Error: jkendpoint.ErrorDetail{Code: code, Message: message, Type: code}})
}

// serviceDecode reads a JSON body of up to 16 MiB and answers an invalid one.
func serviceDecode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(into); err != nil {
		serviceRefuse(w, http.StatusBadRequest, "invalid_request", err.Error())
		return false
	}
	return true
}
