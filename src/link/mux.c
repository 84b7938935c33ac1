#include "mux.h"
#include "clock.h"
#include "hp_scan.h"
#include "ring.h"
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu.h>

#define EVENTS_MAX 256
#define CMDS_MAX 256
#define SWEEP_US 100000
/* Bytes of all heads and the trailer of one exchange: libcurl keeps each line of them. */
#define HEAD_MAX 131072

enum cmd_type { CMD_SUBMIT, CMD_CANCEL, CMD_RESUME };

struct cmd {
	enum cmd_type type;
	struct mux_xfer *xfer;
};

struct mux {
	CURLM *multi;
	struct ring cmds;
	pthread_t thread;
	int epoll;
	int64_t timer_us; /* when libcurl's timer expires; 0: none */
	int64_t sweep_us;
	int64_t now_us;       /* time of this loop iteration */
	GPtrArray *with_data; /* received data in this loop iteration */
	GPtrArray *live;      /* started and not finished */
	GPtrArray *delayed;   /* waiting for start_us */
	atomic_int stop;
};

struct mux_xfer *mux_xfer_new(const char *url)
{
	struct mux_xfer *x = g_new0(struct mux_xfer, 1);

	x->refs = 1;
	x->easy = curl_easy_init();
	curl_easy_setopt(x->easy, CURLOPT_URL, url);
	curl_easy_setopt(x->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(x->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(x->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(x->easy, CURLOPT_PRIVATE, x);
	return x;
}

void mux_xfer_ref(struct mux_xfer *x)
{
	x->refs++;
}

void mux_xfer_unref(struct mux_xfer *x)
{
	if (!x || --x->refs) return;
	if (x->on_free) x->on_free(x);
	curl_easy_cleanup(x->easy);
	curl_slist_free_all(x->headers);
	g_free(x->body);
	g_free(x);
}

void mux_xfer_header(struct mux_xfer *x, const char *line)
{
	x->headers = curl_slist_append(x->headers, line);
}

void mux_xfer_post(struct mux_xfer *x, char *body, size_t n)
{
	x->body = body;
	curl_easy_setopt(x->easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(x->easy, CURLOPT_POSTFIELDSIZE, (long)n);
	mux_xfer_header(x, "Expect:");
}

static int send_cmd(struct mux *m, enum cmd_type type, struct mux_xfer *x)
{
	struct cmd *c = g_new(struct cmd, 1);

	*c = (struct cmd){type, x};
	x->refs++;
	if (!ring_push(&m->cmds, c)) return 0;
	x->refs--;
	g_free(c);
	return -EAGAIN;
}

int mux_submit(struct mux *m, struct mux_xfer *x)
{
	return send_cmd(m, CMD_SUBMIT, x);
}

int mux_cancel(struct mux *m, struct mux_xfer *x)
{
	return send_cmd(m, CMD_CANCEL, x);
}

int mux_resume(struct mux *m, struct mux_xfer *x)
{
	return send_cmd(m, CMD_RESUME, x);
}

void mux_delay_acks(struct mux_xfer *x)
{
	curl_socket_t fd;
	int off = 0;

	if (curl_easy_getinfo(x->easy, CURLINFO_ACTIVESOCKET, &fd) != CURLE_OK) return;
	if (fd == CURL_SOCKET_BAD) return;
	setsockopt(fd, IPPROTO_TCP, TCP_QUICKACK, &off, sizeof off);
}

void mux_pause(struct mux_xfer *x)
{
	x->paused = 1;
	curl_easy_pause(x->easy, CURLPAUSE_RECV);
}

static size_t on_write(char *data, size_t size, size_t n, void *user)
{
	struct mux_xfer *x = user;

	x->last_us = x->mux->now_us;
	if (!x->has_data) {
		x->has_data = 1;
		g_ptr_array_add(x->mux->with_data, x);
	}
	if (x->cancelled || x->on_data(x, data, size * n)) return 0;
	return size * n;
}

static size_t on_header_line(char *data, size_t size, size_t n, void *user)
{
	struct mux_xfer *x = user;

	x->last_us = x->mux->now_us;
	x->head_bytes += size * n;
	if (x->head_bytes > HEAD_MAX || !hp_scan_is_line(data, size * n)) {
		x->bad_head = 1;
		return 0;
	}
	if (x->on_header) x->on_header(x, data, size * n);
	return size * n;
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *user, void *registered)
{
	struct mux *m = user;
	struct epoll_event ev = {.data.fd = fd};

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(m->epoll, EPOLL_CTL_DEL, fd, NULL);
		curl_multi_assign(m->multi, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN) ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT) ev.events |= EPOLLOUT;
	epoll_ctl(m->epoll, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &ev);
	curl_multi_assign(m->multi, fd, m);
	return 0;
}

static int on_timer(CURLM *multi, long ms, void *user)
{
	struct mux *m = user;

	(void)multi;
	m->timer_us = ms < 0 ? 0 : clock_us() + ms * 1000;
	return 0;
}

static void start(struct mux *m, struct mux_xfer *x)
{
	x->running = 1;
	x->mux = m;
	x->last_us = clock_us();
	if (x->headers) curl_easy_setopt(x->easy, CURLOPT_HTTPHEADER, x->headers);
	curl_easy_setopt(x->easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(x->easy, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(x->easy, CURLOPT_HEADERFUNCTION, on_header_line);
	curl_easy_setopt(x->easy, CURLOPT_HEADERDATA, x);
	g_ptr_array_add(m->live, x);
	curl_multi_add_handle(m->multi, x->easy);
}

static void end_batch(struct mux *m, struct mux_xfer *x)
{
	if (!x->has_data) return;
	x->has_data = 0;
	g_ptr_array_remove_fast(m->with_data, x);
	if (x->on_batch_end && !x->cancelled) x->on_batch_end(x);
}

/* Also drops the thread's reference. */
static void finish(struct mux *m, struct mux_xfer *x, CURLcode rc)
{
	long status = 0;

	if (!x->bad_head) curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_multi_remove_handle(m->multi, x->easy);
	g_ptr_array_remove_fast(m->live, x);
	end_batch(m, x);
	x->running = 0;
	if (!x->cancelled && x->on_done)
		x->on_done(x, x->stalled ? CURLE_OPERATION_TIMEDOUT : rc, status);
	mux_xfer_unref(x);
}

static void submit(struct mux *m, struct mux_xfer *x)
{
	mux_xfer_ref(x);
	if (x->cancelled)
		mux_xfer_unref(x);
	else if (x->start_us > clock_us())
		g_ptr_array_add(m->delayed, x);
	else
		start(m, x);
}

static void cancel(struct mux *m, struct mux_xfer *x)
{
	x->cancelled = 1;
	if (x->running)
		finish(m, x, CURLE_ABORTED_BY_CALLBACK);
	else if (g_ptr_array_remove_fast(m->delayed, x))
		mux_xfer_unref(x);
}

static void run_cmd(struct mux *m, struct cmd *c)
{
	switch (c->type) {
	case CMD_SUBMIT: submit(m, c->xfer); break;
	case CMD_CANCEL: cancel(m, c->xfer); break;
	case CMD_RESUME:
		if (!c->xfer->running || !c->xfer->paused) break;
		c->xfer->paused = 0;
		c->xfer->last_us = clock_us();
		curl_easy_pause(c->xfer->easy, CURLPAUSE_CONT);
		break;
	}
	mux_xfer_unref(c->xfer);
	g_free(c);
}

static void run_cmds(struct mux *m)
{
	void *item[CMDS_MAX];
	uint32_t i, n = ring_take(&m->cmds, item, CMDS_MAX);

	for (i = 0; i < n; i++) run_cmd(m, item[i]);
}

static void finish_done(struct mux *m)
{
	struct mux_xfer *x;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(m->multi, &left))) {
		if (msg->msg != CURLMSG_DONE) continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&x);
		finish(m, x, msg->data.result);
	}
}

/* Starts delayed exchanges that are due and ends those without data for too long. */
static void sweep(struct mux *m, int64_t now)
{
	struct mux_xfer *x;
	guint i;

	m->sweep_us = now + SWEEP_US;
	for (i = 0; i < m->delayed->len;) {
		x = m->delayed->pdata[i];
		if (x->start_us > now) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(m->delayed, i);
		start(m, x);
	}
	for (i = 0; i < m->live->len;) {
		x = m->live->pdata[i];
		if (!x->stall_us || x->paused || now - x->last_us < x->stall_us) {
			i++;
			continue;
		}
		x->stalled = 1;
		finish(m, x, CURLE_OPERATION_TIMEDOUT);
	}
}

static int timeout_ms(const struct mux *m, int64_t now)
{
	int64_t until = m->sweep_us;

	if (m->timer_us && m->timer_us < until) until = m->timer_us;
	if (until <= now) return 0;
	return (int)((until - now + 999) / 1000);
}

static void socket_event(struct mux *m, const struct epoll_event *ev)
{
	int running, mask = 0;

	if (ev->data.fd == m->cmds.wake_fd) return;
	if (ev->events & EPOLLIN) mask |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT) mask |= CURL_CSELECT_OUT;
	if (ev->events & (EPOLLERR | EPOLLHUP)) mask |= CURL_CSELECT_ERR;
	curl_multi_socket_action(m->multi, ev->data.fd, mask, &running);
}

static void run_once(struct mux *m)
{
	struct epoll_event ev[EVENTS_MAX];
	int64_t now = clock_us();
	int i, n, running;

	n = epoll_wait(m->epoll, ev, EVENTS_MAX, timeout_ms(m, now));
	m->now_us = clock_us();
	for (i = 0; i < n; i++) socket_event(m, &ev[i]);
	while (m->with_data->len) end_batch(m, m->with_data->pdata[m->with_data->len - 1]);
	run_cmds(m);
	now = clock_us();
	if (m->timer_us && m->timer_us <= now) {
		m->timer_us = 0;
		curl_multi_socket_action(m->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
	finish_done(m);
	if (now >= m->sweep_us) sweep(m, now);
}

static void *run(void *arg)
{
	struct mux *m = arg;

	rcu_register_thread();
	while (!m->stop) run_once(m);
	run_cmds(m);
	while (m->live->len) cancel(m, m->live->pdata[0]);
	while (m->delayed->len) cancel(m, m->delayed->pdata[0]);
	rcu_unregister_thread();
	return NULL;
}

struct mux *mux_new(const char *name, uint32_t ring_cap)
{
	struct mux *m = g_new0(struct mux, 1);
	struct epoll_event ev = {.events = EPOLLIN};

	m->multi = curl_multi_init();
	curl_multi_setopt(m->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(m->multi, CURLMOPT_SOCKETDATA, m);
	curl_multi_setopt(m->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(m->multi, CURLMOPT_TIMERDATA, m);
	curl_multi_setopt(m->multi, CURLMOPT_MAXCONNECTS, 256L);
	m->live = g_ptr_array_new();
	m->with_data = g_ptr_array_new();
	m->delayed = g_ptr_array_new();
	m->epoll = epoll_create1(EPOLL_CLOEXEC);
	ring_init(&m->cmds, ring_cap, 1);
	ev.data.fd = m->cmds.wake_fd;
	epoll_ctl(m->epoll, EPOLL_CTL_ADD, m->cmds.wake_fd, &ev);
	pthread_create(&m->thread, NULL, run, m);
	pthread_setname_np(m->thread, name);
	return m;
}

void mux_free(struct mux *m)
{
	m->stop = 1;
	eventfd_write(m->cmds.wake_fd, 1);
	pthread_join(m->thread, NULL);
	curl_multi_cleanup(m->multi);
	close(m->epoll);
	ring_free(&m->cmds);
	g_ptr_array_unref(m->live);
	g_ptr_array_unref(m->with_data);
	g_ptr_array_unref(m->delayed);
	g_free(m);
}
