/* What the tests of software versions (vs_) share: streams that begin on engines of versions
 * side by side, and which version brought what. */
#ifndef VERSIONS_H
#define VERSIONS_H
#include "pw.h"

#define VS_INSTANCES 4
#define VS_STREAMS 24
#define VS_EVENTS 120
#define VS_EVENT_MS 10
#define VS_CHAT "/chat/" /* not resumable */
#define VS_SUM "/sum/"   /* resumable */
#define VS_DEADLINE_MS 9000
#define VS_AT_ONCE_MS 500 /* a refusal comes within it */
#define VS_CONNECT_MS 900 /* instances connect to each other */
#define VS_BEGUN_MS 300   /* until each stream has brought some events */

extern struct pw_entry *vs_entry[VS_INSTANCES];
extern struct pw_call *vs_first[VS_STREAMS]; /* the attempts that began the streams */

void vs_begin(void);
struct pw_server *vs_add_engine(const char *version);
struct pw_server *vs_add_engine_of(const char *service, const char *version);
/* Starts so many instances, and waits until they are connected. */
void vs_start(int n);
/* Begins the streams at the first instances in turn, and waits for their first events. */
void vs_begin_streams(const char *path, int instances);
/* A caller takes a stream up behind the event last; resumes: the attempt that it names, or
 * NULL. */
struct pw_call *vs_take_up(struct pw_entry *at, const char *resumes, int last);
void vs_await(void);
/* The version of the engine that brought the attempt's first event; NULL: none did. */
const char *vs_version_of(const struct pw_call *c);
/* Runs of the attempt that brought events of another version than this one. */
int vs_runs_elsewhere(const struct pw_call *c, const char *version);
/* Streams that went on at another version, within one answer. */
int vs_count_mixed(void);
int vs_count_complete(void);
/* The streams that began: a busy machine turns some away. Asserts that half did. */
int vs_count_begun(void);
/* The number of streams whose first event this version brought. */
int vs_count_begun_at(const char *version);
#endif
