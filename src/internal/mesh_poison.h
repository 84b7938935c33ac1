/* Frames about requests that end servers. */
#ifndef SH_MESH_POISON_H
#define SH_MESH_POISON_H
#include "quarantine.h"

/* A server ended while these ran there; to those that callers come to. */
void mesh_tell_end(const struct quarantine_crash *e, const struct quarantine_run *run);
/* A run came through; to the same. */
void mesh_tell_through(const struct fp *fp, int64_t ago_us);
/* So many of it have not answered yet here; to the same. */
void mesh_tell_under_way(const struct fp *fp, uint32_t n);
/* Blamed, or not any longer; to all that this instance has a link to. */
void mesh_tell_verdict(const struct quar_suspect *s);
const char *mesh_self_name(void);
/* The same as frames, appended to out. */
void mesh_write_end(GString *out, const struct quarantine_crash *e,
		    const struct quarantine_run *run);
void mesh_write_through(GString *out, const struct fp *fp, int64_t ago_us);
void mesh_write_under_way(GString *out, const struct fp *fp, uint32_t n);
#endif
