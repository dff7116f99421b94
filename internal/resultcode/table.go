package resultcode

var table = []Info{
	{MalformedMessage, "malformed_message", "08P01", NotRun, "A message of the caller could not be decoded."},
	{UnknownDatabase, "unknown_database", "3D000", NotRun, "The configuration has no database of this name."},
	{KeyRejected, "key_rejected", "28P01", NotRun, "The key does not belong to the organisation, or none was given."},
	{KeyWithdrawn, "key_withdrawn", "28000", NotRun, "The key was withdrawn after the caller connected."},
	{ConfigurationNotFresh, "configuration_not_fresh", "57P03", NotRun, "The VM cannot prove that its configuration is current."},
	{DatabaseNotAllowed, "database_not_allowed", "42501", NotRun, "The organisation may not use this database."},
	{ZoneOut, "zone_out", "57P03", NotRun, "The availability zone of this VM is taken out of service."},
	{RateExceeded, "rate_exceeded", "53400", NotRun, "The organisation exceeded its rate and burst."},
	{QueueDeadline, "queue_deadline", "53300", NotRun, "No upstream slot became free before the deadline."},
	{NoPrimary, "no_primary", "57P03", NotRun, "The database group has no reachable primary."},
	{NoUpstream, "no_upstream", "57P03", NotRun, "No upstream can serve the read at the required position."},
	{OutcomeUnknown, "outcome_unknown", "08007", Unknown, "The request was sent; whether it ran is not known."},
	{RolledBack, "rolled_back", "40001", NotRun, "The transaction was rolled back and left no effect."},
	{ShuttingDown, "shutting_down", "57P01", NotRun, "The VM is stopping; connect again."},
	{FeatureNotSupported, "feature_not_supported", "0A000", NotRun, "The statement needs session state that pooled connections cannot keep."},
	{InvalidSetting, "invalid_setting", "22023", NotRun, "A session setting has an unknown name or an invalid value."},
	{TLSRequired, "tls_required", "28000", NotRun, "The VM accepts only TLS connections."},
	{MessageTooLarge, "message_too_large", "54000", NotRun, "A message exceeds the size limit."},
	{Cancelled, "cancelled", "57014", NotRun, "The caller cancelled the request before it ran."},
	{TooManyCallers, "too_many_callers", "53300", NotRun, "The VM holds its maximum number of caller connections."},
	{AnswerIncomplete, "answer_incomplete", "08006", Unknown, "The upstream connection failed while rows were being passed on, or the answer could not be read or passed on."},
	{StatementTimeout, "statement_timeout", "57014", Unknown, "The statement ran for longer than the route allows; whether it had an effect is not known."},
	{StatementFailed, "statement_failed", "XX000", Unknown, "The upstream ran the statement and reported a failure."},
	{UnknownStatement, "unknown_statement", "26000", NotRun, "The session has no prepared statement of this name."},
	{ReadOnlyTransaction, "read_only_transaction", "25006", NotRun, "A write was sent in a read-only transaction."},
	{TransactionFailed, "transaction_failed", "25P02", NotRun, "The transaction has failed; only its end is accepted."},

	{NoteSyntax, "note_syntax", "", NotRun, "A line of the release note could not be parsed."},
	{NoteUnknownSection, "note_unknown_section", "", NotRun, "A section name is not an action and kind."},
	{NoteUnknownSetting, "note_unknown_setting", "", NotRun, "A key is not a setting of its section."},
	{NoteInvalidValue, "note_invalid_value", "", NotRun, "A value is malformed or outside its bounds."},
	{NoteAlreadyExists, "note_already_exists", "", NotRun, "An added item exists already."},
	{NoteNotFound, "note_not_found", "", NotRun, "A changed or withdrawn item does not exist."},
	{NoteReference, "note_reference", "", NotRun, "An item refers to another that does not exist, or is still referred to."},
	{NoteConflict, "note_conflict", "", NotRun, "Another note was accepted first."},
	{NoteNotAccepted, "note_not_accepted", "", Unknown, "Too few availability zones acknowledged the note before the deadline."},
	{NoteEmpty, "note_empty", "", NotRun, "The release note changes nothing."},
	{NoteTooLarge, "note_too_large", "", NotRun, "The resulting configuration exceeds the platform's value limit."},

	{SettingsSyntax, "settings_syntax", "", NotRun, "A line of the settings file could not be parsed."},
	{SettingsUnknown, "settings_unknown", "", NotRun, "A section or setting is unknown."},
	{SettingsInvalid, "settings_invalid", "", NotRun, "A value is malformed or outside its bounds."},
	{SettingsMissing, "settings_missing", "", NotRun, "A required setting is missing."},
	{SettingsTLS, "settings_tls", "", NotRun, "A certificate or key file could not be loaded."},

	{MessageVersion, "message_version", "", NotRun, "A message between processes has an unknown protocol version."},
	{MessageStranger, "message_stranger", "", NotRun, "A message came from a process that is not authenticated."},
	{MessageMalformed, "message_malformed", "", NotRun, "A message between processes could not be decoded."},
	{UsageSourceUnknown, "usage_source_unknown", "", NotRun, "Counts of requests came from a VM that is not known."},
	{UsageOrganisationUnknown, "usage_organisation_unknown", "", NotRun, "The counts are of an organisation that the configuration does not have."},
	{UsageWindowInFuture, "usage_window_in_future", "", NotRun, "The counts are of a window that has not begun."},
	{UsageBaseUnknown, "usage_base_unknown", "", NotRun, "The counts continue earlier ones that the VM does not hold; all of them are needed."},
	{PlatformDown, "platform_down", "", Unknown, "The platform did not answer, or answered that it is unavailable."},
	{PlatformQuota, "platform_quota", "", NotRun, "The platform refused a call over its quota."},
	{PlatformConflict, "platform_conflict", "", NotRun, "A conditional update found another version."},
	{PlatformNotFound, "platform_not_found", "", NotRun, "The platform has no such object."},
	{PlatformTooLarge, "platform_too_large", "", NotRun, "A value exceeds the platform's limit."},
	{PlatformBadRequest, "platform_bad_request", "", NotRun, "The platform rejected the form of a call."},
	{PlatformHistoryGone, "platform_history_gone", "", NotRun, "The platform has dropped the history that a watch asked for."},
	{PlatformUnavailable, "platform_unavailable", "", NotRun, "The platform answered that it is unavailable; the call had no effect."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()

// All returns every code in ascending order.
func All() []Info { return append([]Info(nil), table...) }
