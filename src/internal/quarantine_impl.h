/* Private to src/fleet/quarantine*.c. */
#ifndef SH_QUARANTINE_IMPL_H
#define SH_QUARANTINE_IMPL_H
#include "quarantine.h"

/* quarantine_success.c */
/* A run of the request succeeded. */
void success_note(const struct fp *fp, int64_t at_us);
/* Time of its last remembered success; 0: none lately. */
int64_t success_last_us(const struct fp *fp);

/* quarantine_recent.c */
/* Crashes are repeated while they count in the rate at which servers crash without the judged
 * request. */
#define RECENT_CRASH_US 30000000
/* The server crashed while these ran there. */
void recent_note(const char *server, int64_t incarnation_ms, const struct quarantine_run *run,
		 int n, int64_t at_us);
/* Appends a frame for each recent crash. */
void recent_write(GString *out, int64_t now);

/* quarantine_broken.c */
/* These ran on b when their exchanges broke off; whether it crashed is not known here. */
void broken_note(const struct be *b, const struct quarantine_run *run, int n, int64_t at_us);
/* The server crashed at that time: removes and returns the runs that broke off there, of struct
 * quarantine_run; to be unreferenced. NULL: there are none. */
GArray *broken_take(const char *server, int64_t incarnation_ms, int64_t at_us);

/* quarantine_inflight.c */
/* Counts of other instances are sent with each change; older ones are dropped, as their sender
 * may have died. */
#define INFLIGHT_KEEP_US 5000000
/* n runs of the request have not answered yet at that instance. */
void inflight_recv(const char *from, const struct fp *fp, uint32_t n);
/* Sum over all other instances. */
uint32_t inflight_count(const struct fp *fp, int64_t now);
/* Sends the count of this instance to the others, if it changed. */
void inflight_send(const struct fp *fp, uint32_t n);
/* Appends a frame for each request with a count that was sent. */
void inflight_write(GString *out);

/* quarantine.c */
/* Whether its quarantine has run out, and no other instance runs it, as far as is known. */
int quarantine_is_due(const struct fp *fp);

/* quarantine_scan.c */
/* succeeded is called for suspects of which a run has come through. */
void scan_start(const struct quar *q, const struct quarantine_hooks *hooks,
		void (*succeeded)(const struct fp *fp, int64_t at_us));
/* Servers crashed, or a trial is due: scans until there is nothing to watch. */
void scan_soon(void);
/* Whether a run here has come so far that it won't crash its server. */
int scan_finds_success(const struct fp *fp);

/* quarantine_trial.c */
void quarantine_trial_start(const struct entry_cfg *c,
			    void (*answered)(const struct fp *fp, int granted));

/* quarantine_write.c */
void quarantine_log_verdict(const struct quar *q, const struct quar_suspect *s,
			    const char *reported_by);
void quarantine_log_crash(const char *server, const char *seen_by,
			  const struct quarantine_run *run, int n);
/* Another instance reported more runs on a server whose crash is recorded already. */
void quarantine_log_crash_report(const char *server, const char *reported_by,
				 const struct quarantine_run *run, int n, int64_t at_us);
/* Writes the quarantined requests as a JSON list. */
void quarantine_write_list(GString *out, const struct quar *q);
#endif
