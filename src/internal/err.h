/* Errors with the processing step and the peer at which they occurred. */
#ifndef SH_ERR_H
#define SH_ERR_H

/* The step of request processing at which an error occurred. */
enum step {
	STEP_NONE,
	STEP_PARSE,
	STEP_AUTH,
	STEP_ADMIT,
	STEP_KEEPER,
	STEP_CONNECT,
	STEP_SEND,
	STEP_FIRST_BYTE,
	STEP_STREAM,
	STEP_PLATFORM,
	STEP_PEER,
	STEP_SETTINGS,
	STEP_MAX
};

/* code is 0 or a negative errno; peer is the address or name of the remote side. */
struct err {
	int code;
	enum step step;
	char peer[64];
	char text[192];
};

const char *err_step_name(enum step step);

/* Fills in e, unless it is NULL, and returns code. */
int err_set(struct err *e, int code, enum step step, const char *peer, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
#endif
