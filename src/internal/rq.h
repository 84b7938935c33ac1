/* Requests on the event loop (rq: request), from a caller's request head to the last byte of
 * its answer. */
#ifndef SH_RQ_H
#define SH_RQ_H
#include "be.h"
#include "dialect.h"
#include "entry_cfg.h"
#include "hs.h"
#include "path.h"

void rq_init(const struct entry_cfg *c);
/* Starts exchanging with other instances which requests crash backend servers. Before the mesh
 * starts. */
void rq_quarantine_start(const struct entry_cfg *c);
/* Callbacks of the callers' listener. */
void rq_on_request(struct hs *h);
void rq_on_caller_left(struct hs *h);
void rq_on_writable(struct hs *h);
/* The caller reads too slowly: closes its connection and cancels its request. */
void rq_on_slow_reader(struct hs *h);
/* A backend server is leaving: its requests move to other servers where they can. */
void rq_on_leaving(struct be *b);
/* An incarnation of a backend server is over: its requests continue elsewhere at once where
 * they can. */
void rq_on_incarnation_end(struct be *b);
/* A backend server reported its progress: finds streams here that have received less than it
 * has generated for them. */
void rq_on_report(struct be *b, const struct dl_report *r);
/* Another instance answered which version began the stream with this key; 0: not known. */
void rq_on_origin(uint64_t key, uint64_t version, int64_t age_us, const char *from);
/* A connection from here to b was refused. */
void rq_on_refused(struct be *b);
/* A connection to b that this instance kept for another one broke off: b may have crashed. */
void rq_on_tunnel_broken(struct be *b, int err);
/* A check found whether b is reached. */
void rq_on_path_verdict(struct be *b, enum path_verdict v);
/* The path to some server is lost: requests whose connection to it hangs go around. */
void rq_on_path_lost(void);
/* The instance at that address stops, and closes its tunnels soon: streams that lead through it
 * resume from their engines' memory. */
void rq_on_helper_leaving(const struct sockaddr_in *at);
uint32_t rq_open_count(void);
/* Appends a JSON list of the requests that wait here, at most a hundred; returns how many do.
 */
int rq_write_waiting(GString *out);
/* From now on refuses requests that can't finish before until_us. */
void rq_drain(int64_t until_us);
/* The process was suspended, possibly for several seconds, and runs again. */
void rq_on_resumed(void);
/* Ends all requests in flight. */
void rq_abort_all(void);
#endif
