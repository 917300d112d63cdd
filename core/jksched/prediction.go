package jksched

import "time"

// Prediction is what a DirectPlacer expects of a call at the endpoint that it chooses.
type Prediction struct {
	// Wait is the time until the call gets a slot, and Run how long it then runs.
	Wait time.Duration
	Run  time.Duration
	// Alone is how long it would run on an endpoint that runs nothing else, and Prefill the part
	// of it in which the prompt is read.
	Alone   time.Duration
	Prefill time.Duration
}

// Predict predicts the times of a call at the endpoint that Place would choose. The error is a
// *RefusedError.
func (d *DirectPlacer) Predict(now time.Time, c Call) (Prediction, error) {
	// A refusal books a time for the caller's return, which only Place may do.
	returnAt, known := d.returnAt[c.Service]
	best, _, err := d.choose(now, c, nil)
	if err != nil {
		if known {
			d.returnAt[c.Service] = returnAt
		} else {
			delete(d.returnAt, c.Service)
		}
		return Prediction{}, err
	}
	return d.prediction(now, c, best), nil
}

// prediction returns the times of the call that is being placed.
func (d *DirectPlacer) prediction(now time.Time, c Call, row *directRow) Prediction {
	out := Prediction{Wait: d.predictedWait(now, c, row), Run: d.runTime(now, c, row)}
	if c.Kind != KindModel {
		out.Alone = d.serviceTime(row)
		return out
	}
	output := d.likelyTokens(c)
	if output <= 0 {
		output = row.engine.outputTokens()
	}
	out.Prefill = time.Duration(row.uncached) * row.engine.prefillPace()
	out.Alone = time.Duration(output)*row.engine.tokenPace() + out.Prefill
	return out
}

// HasHolder reports whether a prompt part was placed at an endpoint, as far as this host knows.
func (d *DirectPlacer) HasHolder(part string) bool { return len(d.parts[part]) > 0 }
