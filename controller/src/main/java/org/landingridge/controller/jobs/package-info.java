/**
 * The jobs known to this controller: the table of active and recently terminated jobs, their dependencies, the log of known
 * cancellations, and the stored form of a job.
 *
 * <p>All state is in {@link org.landingridge.controller.jobs.JobTable}. It is derived from the watch on the jobs' keys, from
 * commits of this process and from cancellations reported by other controllers. Only the event loop's thread accesses it;
 * nothing here locks or blocks. Depends only on module {@code wire}; package {@code history} archives terminated jobs.
 */
package org.landingridge.controller.jobs;
