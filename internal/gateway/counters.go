package gateway

// Counters of answers that are not believed.
const (
	// counterForeignAnswers counts the answers of endpoints that do not belong to the
	// request on their connection, by what shows it.
	counterForeignAnswers = "routed_foreign_answers_total"
	// counterDefectiveAnswers counts the answers that are not well-formed or whose end is
	// not known, by endpoint.AnswerDefect.
	counterDefectiveAnswers = "routed_defective_answers_total"
	// counterUnprovenRefusals counts the answers with a status that promises that the
	// request has not run, without the endpoint's statement, by status.
	counterUnprovenRefusals = "routed_unproven_refusals_total"
	// counterUnanswered counts requests for which nothing was written. Their
	// connections are closed.
	counterUnanswered = "routed_unanswered_requests_total"
)
