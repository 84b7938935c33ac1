/* Quarantine of requests that crash the backend servers that run them, and of prompt segments
 * that do so in any request. A fingerprint names either. Combines what this instance and the
 * others saw: crashes are reported to all instances that receive caller traffic, verdicts to
 * all instances. quar.h makes the decision. */
#ifndef SH_QUARANTINE_H
#define SH_QUARANTINE_H
#include "be.h"
#include "entry_cfg.h"
#include "quar.h"

struct quarantine_run { /* of a request on a server that crashed */
	struct fp fp;
	int64_t ran_us;
	/* Of a segment: one of the requests with it that ran there; ran_us is their sum. */
	struct fp request;
};

/* Runs of a suspect at this instance. */
struct quarantine_count {
	/* That may still crash their servers: they have brought no events for long enough. */
	uint32_t unproven;
	int succeeded; /* one has, and won't crash its server any more */
};

/* Callbacks into the request handling of this instance. */
struct quarantine_hooks {
	/* The request was quarantined, here or elsewhere: its runs must be ended. */
	void (*quarantined)(const struct fp *fp);
	/* Counts the runs of suspects: struct fp -> struct quarantine_count, zero at first. */
	void (*count_runs)(GHashTable *suspects);
	/* The answer to quarantine_ask_trial. */
	void (*trial)(const struct fp *fp, int granted);
};
/* To be called before the mesh starts. Keeps a reference to c and hooks. */
void quarantine_start(const struct entry_cfg *c, const struct quarantine_hooks *hooks);
/* Whether this instance has received the verdicts of another one, or no other one provides
 * them. It serves no caller before. */
int quarantine_ready(void);

/* ---- evidence of this instance ---- */
/* b crashed while these ran there; run is changed. */
void quarantine_note_crash(const struct be *b, struct quarantine_run *run, int n,
			   int64_t at_us);
/* Their exchanges with b broke off, and this instance can't tell whether b crashed: they count
 * once another one reports that it did. run is changed. */
void quarantine_note_broken(const struct be *b, struct quarantine_run *run, int n,
			    int64_t at_us);
/* A run of this instance succeeded, at that time (monotonic). */
void quarantine_note_success(const struct fp *fp, int64_t at_us);

/* ---- admission of runs ---- */
/* Whether there are suspects at all; if not, quarantine_check need not be called. */
int quarantine_has_suspects(void);
/* Whether a run may start. here: other unproven runs of the request at this instance. */
enum quar_action quarantine_check(const struct fp *fp, uint32_t here);

/* ---- trials: quarantine_check returned QUAR_TRIAL ---- */
/* Asks whether this instance may run the request; one run in the whole fleet is granted. 0: it
 * may; -EINPROGRESS: another instance is asked, hooks->trial follows if it answers; -EBUSY: it
 * may not, or was asked a moment ago. */
int quarantine_ask_trial(const struct fp *fp);

/* ---- operators ---- */
/* Writes the quarantined requests as a JSON list. */
void quarantine_write(GString *out);
/* Lifts the quarantine of a request at all instances. Returns 0, -EINVAL if the text is no
 * fingerprint, or -ENOENT if it is not quarantined. */
int quarantine_clear(const char *fingerprint);

/* ---- messages of other instances, called as the mesh receives them ---- */
struct quarantine_crash {
	char server[QUAR_NAME];
	int64_t incarnation_ms, ago_us;
	int n;
};
void quarantine_recv_crash(const char *from, const struct quarantine_crash *e,
			   const struct quarantine_run *run);
void quarantine_recv_success(const struct fp *fp, int64_t ago_us);
void quarantine_recv_verdict(const char *from, const struct fp *fp, uint32_t round,
			     uint32_t cleared, int64_t ago_us);
void quarantine_recv_in_flight(const char *from, const struct fp *fp, uint32_t n);
/* A peer has sent all its verdicts. complete: it had received those of others itself. */
void quarantine_recv_done(int complete);
/* Appends the reports of crashes and suspects that still count, for a peer that may have missed
 * them: a link may have lost them, or the peer received no caller traffic when they were sent.
 */
void quarantine_write_reports(GString *out);
uint64_t quarantine_digest(void);
void quarantine_each_verdict(void (*f)(const struct quar_suspect *s, void *arg), void *arg);
#endif
