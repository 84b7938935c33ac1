/* Requests on the event loop: from a caller's head to the last byte of its answer. */
#ifndef SH_RQ_H
#define SH_RQ_H
#include "be.h"
#include "dialect.h"
#include "entry_cfg.h"
#include "hs.h"

void rq_init(const struct entry_cfg *c);
/* From now on others are asked and told which requests end backend servers. */
void rq_quarantine_start(int first_start);
/* For the callers' listener. */
void rq_on_request(struct hs *h);
void rq_on_caller_left(struct hs *h);
void rq_on_writable(struct hs *h);
/* Its caller takes too little: ends the connection, and what runs for it. */
void rq_on_slow_reader(struct hs *h);
/* A backend server leaves: what runs there goes on elsewhere where it can. */
void rq_on_leaving(struct be *b);
/* A backend server's life is over: what ran there goes on elsewhere at once where it can. */
void rq_on_incarnation_over(struct be *b);
/* A backend server's report came: its streams here may have fallen behind it. */
void rq_on_report(struct be *b, const struct dl_report *r);
uint32_t rq_open_count(void);
/* From now on what can't be finished before until_us is sent elsewhere. */
void rq_drain(int64_t until_us);
/* This instance stood still, for some seconds perhaps. */
void rq_on_resumed(void);
/* Ends all that is under way. */
void rq_abort_all(void);
#endif
