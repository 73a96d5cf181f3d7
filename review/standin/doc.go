// Command standin plays the cases of the review. It starts entries of kingcupturn as separate processes and plays the platform's store, servers, clients and
// the operator as the users' pages describe them.
package main
