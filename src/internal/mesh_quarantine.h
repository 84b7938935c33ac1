/* Frames about requests under which servers crash. */
#ifndef SH_MESH_QUARANTINE_H
#define SH_MESH_QUARANTINE_H
#include "quarantine.h"

/* A server crashed while these requests ran there. Sent to serving instances. */
void mesh_send_crash(const struct quarantine_crash *e, const struct quarantine_run *run);
/* A run of the request succeeded. Sent to serving instances. */
void mesh_send_success(const struct fp *fp, int64_t ago_us);
/* Number of runs of the request that have not answered yet at this instance. Sent to serving
 * instances. */
void mesh_send_in_flight(const struct fp *fp, uint32_t n);
/* The request is quarantined, or no longer. Sent to all instances that this one has a link
 * to. */
void mesh_send_verdict(const struct quar_suspect *s);
const char *mesh_self_name(void);
/* Append the same frames to out. */
void mesh_write_crash(GString *out, const struct quarantine_crash *e,
		      const struct quarantine_run *run);
void mesh_write_success(GString *out, const struct fp *fp, int64_t ago_us);
void mesh_write_in_flight(GString *out, const struct fp *fp, uint32_t n);
#endif
