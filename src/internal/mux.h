/* One thread that runs many HTTP exchanges with libcurl's multi socket interface and epoll. */
#ifndef SH_MUX_H
#define SH_MUX_H
#include <curl/curl.h>
#include <stdatomic.h>
#include <stdint.h>

struct mux;

/* One exchange. The owner and the thread hold a reference each; callbacks run in the thread. */
struct mux_xfer {
	atomic_int refs;
	struct mux *mux; /* set when it starts */
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	int64_t start_us;  /* earliest start, monotonic clock */
	int64_t last_us;   /* when data last arrived */
	int64_t stall_us;  /* ends after this long without data; 0: never */
	size_t head_bytes; /* received of heads and trailer */
	int bad_head;      /* too large, or not HTTP: the exchange has no status */
	int running, paused, cancelled, stalled, has_data;
	/* Returns 0, or -1 to end the exchange. */
	int (*on_data)(struct mux_xfer *x, const char *data, size_t n);
	void (*on_header)(struct mux_xfer *x, const char *line, size_t n);
	/* Called after all data that arrived together has gone through on_data; may be NULL. */
	void (*on_batch_end)(struct mux_xfer *x);
	void (*on_done)(struct mux_xfer *x, CURLcode rc, long status);
	void (*on_free)(struct mux_xfer *x);
	void *user;
};

struct mux *mux_new(const char *name, uint32_t ring_cap);
/* Cancels the remaining exchanges and joins the thread. */
void mux_free(struct mux *m);

struct mux_xfer *mux_xfer_new(const char *url);
void mux_xfer_ref(struct mux_xfer *x);
void mux_xfer_unref(struct mux_xfer *x);
void mux_xfer_header(struct mux_xfer *x, const char *line);
/* Makes it a POST and takes ownership of body, allocated by malloc or GLib. */
void mux_xfer_post(struct mux_xfer *x, char *body, size_t n);

/* These return 0, or -EAGAIN when the ring is full. mux_submit takes its own reference. */
int mux_submit(struct mux *m, struct mux_xfer *x);
int mux_cancel(struct mux *m, struct mux_xfer *x);
int mux_resume(struct mux *m, struct mux_xfer *x);
/* Lets the kernel delay TCP acknowledgements. For one-way streams of small pieces, where an
 * acknowledgement at each read would cost one more packet per piece. */
void mux_delay_acks(struct mux_xfer *x);
/* Stops receiving until mux_resume. Call it from on_data only. */
void mux_pause(struct mux_xfer *x);
#endif
