// A stand-in of the store's HTTP interface for one table, on a loopback port.
// It can lose the calls that wait for changes, as in a silent outage.

#ifndef APRICOTSTILE_TESTS_ADAPTER_FAKE_STORE_HPP
#define APRICOTSTILE_TESTS_ADAPTER_FAKE_STORE_HPP

#include <apricotstile/host/address.hpp>

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <string>
#include <vector>

namespace apricotstile::tests {

class fake_store {
public:
    fake_store();

    [[nodiscard]] address where() const;
    /// Calls for changes that arrived, lost ones included.
    [[nodiscard]] std::size_t feed_calls() const;
    /// The version from which the last such call asked for changes.
    [[nodiscard]] std::string last_feed_after() const;
    /// Reads of the table "t".
    [[nodiscard]] std::size_t table_reads() const;
    /// While silent, calls get no answer; those that wait never get one.
    void set_silent(bool value);
    /// Status of the next call for changes in place of waiting for one.
    void fail_next_feed(int status);
    /// The store comes back from an older copy: its version falls to `version`,
    /// and its responses name the next era.
    void restore_older(std::uint64_t older_version);
    /// The body of later responses to transactions.
    void set_commit_body(const std::string& body);
    /// Bodies of the transactions that arrived.
    [[nodiscard]] const std::vector<std::string>& transactions() const;
    /// Removes the table's only row. The store drops the history of changes,
    /// and the calls that wait are told so.
    void remove_row_and_history();
    /// Writes the table's only row and answers the calls that wait.
    void write_row(const std::string& base64_value);

private:
    void handle_connection(QTcpSocket* connection);
    void handle_call(QTcpSocket* connection, const std::string& head);
    void respond(QTcpSocket* connection, int status, const std::string& body);
    [[nodiscard]] std::string rows_body() const;

    QTcpServer server;
    bool silent{false};
    int next_feed_status{0};
    std::uint64_t version{1};
    std::uint64_t era{0};
    std::vector<std::string> transaction_bodies;
    std::string commit_body;
    std::string value;
    std::size_t feeds{0};
    std::size_t followed_reads{0};
    std::string feed_after;
    std::vector<QPointer<QTcpSocket>> waiting;
};

} // namespace apricotstile::tests

#endif
